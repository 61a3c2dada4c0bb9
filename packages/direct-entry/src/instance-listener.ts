/**
 * HTTP listener for other instances: serves copies of the store's tables to entries, and relays
 * prepare orders of a group's leader to the sidecars of the availability zone.
 */
import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';

import { forwardPrepare, RelayPath } from '@lapisbridge/group-leader';
import { parseObject } from '@lapisbridge/json-call';
import type { Logger } from '@lapisbridge/logger';

import type { CopyResponder } from './copy-exchange.js';

/** Address of the listener, and the handler of requests for table copies. */
export interface InstanceListenerOptions {
  readonly host: string;
  readonly port: number;
  readonly logger: Logger;
  readonly respondWithCopy: CopyResponder;
}

/** Limit for the body of a prepare order; a leader sends one per availability zone and map. */
const MAXIMUM_BODY_BYTES = 4_000_000;

async function readBody(incoming: IncomingMessage): Promise<Buffer> {
  const chunks: Buffer[] = [];
  let size = 0;
  for await (const chunk of incoming) {
    size += (chunk as Buffer).length;
    if (size > MAXIMUM_BODY_BYTES)
      throw new RangeError(`request body exceeds ${MAXIMUM_BODY_BYTES} bytes`);
    chunks.push(chunk as Buffer);
  }
  return Buffer.concat(chunks);
}

async function relayPrepare(incoming: IncomingMessage, response: ServerResponse): Promise<void> {
  const body = parseObject(await readBody(incoming));
  const outcomes = body === undefined ? {} : await forwardPrepare(body);
  response.writeHead(200, { 'content-type': 'application/json' });
  response.end(JSON.stringify(outcomes));
}

/** Starts the listener; errors of its socket are logged and do not end the process. */
export function startInstanceListener(options: InstanceListenerOptions): Server {
  const { logger } = options;
  const server = createServer((incoming, response) => {
    if (options.respondWithCopy(incoming, response)) return;
    if (incoming.url !== RelayPath.ForwardPrepare) {
      incoming.resume();
      response.writeHead(404);
      response.end();
      return;
    }
    relayPrepare(incoming, response).catch((thrown: unknown) => {
      logger.warn('prepare order not relayed', { reason: String(thrown) });
      response.destroy();
    });
  });
  server.on('error', (error) =>
    logger.error('instance listener failed', { reason: error.message }),
  );
  return server.listen(options.port, options.host);
}
