/**
 * Headers of a message that an intermediary passes on, as HTTP/1.1 demands.
 */
import type { IncomingMessage } from 'node:http';

/** Headers that concern one connection only. */
const HOP_BY_HOP: ReadonlySet<string> = new Set([
  'connection',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
]);

/** Names that a Connection header declares to concern this connection only. */
function declaredHopByHop(incoming: IncomingMessage): ReadonlySet<string> {
  const { connection } = incoming.headers;
  if (connection === undefined) return HOP_BY_HOP;
  const names = connection.split(',').map((name) => name.trim().toLowerCase());
  return new Set([...HOP_BY_HOP, ...names]);
}

/** Raw pairs of the headers that are passed on, without those in `dropped`, in lower case. */
export function endToEndHeaders(incoming: IncomingMessage, dropped: ReadonlySet<string>): string[] {
  const hopByHop = declaredHopByHop(incoming);
  const kept: string[] = [];
  const { rawHeaders } = incoming;
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    const name = rawHeaders[index];
    const lower = name.toLowerCase();
    if (hopByHop.has(lower) || dropped.has(lower)) continue;
    kept.push(name, rawHeaders[index + 1]);
  }
  return kept;
}
