/**
 * The HTTP address at which an entry answers other instances: copies of the store's tables, and
 * orders of a group's leader that are passed on to the sidecars of the zone.
 */
import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';

import { forwardPrepare, RelayPath } from '@lapisbridge/group-leader';
import { parseObject } from '@lapisbridge/json-call';
import type { Logger } from '@lapisbridge/logger';

import type { CopyResponder } from './copy-exchange.js';

export interface InstanceListenerOptions {
  readonly host: string;
  readonly port: number;
  readonly logger: Logger;
  readonly respondWithCopy: CopyResponder;
}

/** A leader sends one order a zone for each map. */
const MOST_BODY_BYTES = 4_000_000;

async function readBody(incoming: IncomingMessage): Promise<Buffer> {
  const chunks: Buffer[] = [];
  let size = 0;
  for await (const chunk of incoming) {
    size += (chunk as Buffer).length;
    if (size > MOST_BODY_BYTES) throw new RangeError(`body over ${MOST_BODY_BYTES} bytes`);
    chunks.push(chunk as Buffer);
  }
  return Buffer.concat(chunks);
}

async function passOn(incoming: IncomingMessage, response: ServerResponse): Promise<void> {
  const body = parseObject(await readBody(incoming));
  const outcomes = body === undefined ? {} : await forwardPrepare(body);
  response.writeHead(200, { 'content-type': 'application/json' });
  response.end(JSON.stringify(outcomes));
}

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
    passOn(incoming, response).catch((thrown: unknown) => {
      logger.warn('order not passed on', { reason: String(thrown) });
      response.destroy();
    });
  });
  server.on('error', (error) =>
    logger.error('instances are not answered', { reason: error.message }),
  );
  return server.listen(options.port, options.host);
}
