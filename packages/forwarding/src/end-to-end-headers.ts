/**
 * Selects the headers of a message that HTTP/1.1 requires an intermediary to forward.
 */
import type { IncomingMessage } from 'node:http';

/** Hop-by-hop headers, which apply to a single connection. */
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

/** Names of hop-by-hop headers, including those that the Connection header lists. */
function declaredHopByHop(incoming: IncomingMessage): ReadonlySet<string> {
  const { connection } = incoming.headers;
  if (connection === undefined) return HOP_BY_HOP;
  const names = connection.split(',').map((name) => name.trim().toLowerCase());
  return new Set([...HOP_BY_HOP, ...names]);
}

/** End-to-end headers as raw pairs, without those in `dropped`, whose names are in lower case. */
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
