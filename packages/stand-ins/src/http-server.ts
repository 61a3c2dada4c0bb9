/**
 * What the stand-ins' HTTP servers share.
 */
import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';

export type StandInHandler = (
  request: IncomingMessage,
  response: ServerResponse,
) => Promise<void> | void;

export async function readJson(request: IncomingMessage): Promise<unknown> {
  const pieces: Buffer[] = [];
  for await (const piece of request) pieces.push(piece as Buffer);
  const text = Buffer.concat(pieces).toString('utf8');
  return text === '' ? null : (JSON.parse(text) as unknown);
}

export function reply(response: ServerResponse, status: number, body: unknown): void {
  if (response.destroyed) return;
  response.writeHead(status, { 'content-type': 'application/json' });
  response.end(JSON.stringify(body));
}

export function listen(host: string, port: number, handler: StandInHandler): Promise<Server> {
  const server = createServer((request, response) => {
    Promise.resolve(handler(request, response)).catch((thrown: unknown) => {
      reply(response, 400, { error: String(thrown) });
    });
  });
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, () => resolve(server));
  });
}
