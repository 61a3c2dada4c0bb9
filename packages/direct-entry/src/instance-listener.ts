/**
 * HTTP listener for other instances: serves copies of the store's tables to entries, and relays
 * prepare orders of a group's leader to the sidecars of the availability zone.
 */
import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';

import { BodyEndKind } from '@lapisbridge/client-limits';
import type { ClientGuard } from '@lapisbridge/client-limits';
import { forwardPrepare, RelayPath } from '@lapisbridge/group-leader';
import { parseObject } from '@lapisbridge/json-call';
import { monotonicClock } from '@lapisbridge/kernel';
import type { Logger } from '@lapisbridge/logger';

import type { CopyResponder } from './copy-exchange.js';

/** Address of the listener, and the handler of requests for table copies. */
export interface InstanceListenerOptions {
  readonly host: string;
  readonly port: number;
  readonly logger: Logger;
  readonly guard: ClientGuard;
  readonly respondWithCopy: CopyResponder;
}

/** Limit for the body of a prepare order; a leader sends one per availability zone and map. */
const MAXIMUM_BODY_BYTES = 4_000_000;
/** Time in which another instance must have sent its request; a leader waits no longer. */
const RECEIVE_MILLISECONDS = 5000;

async function relayPrepare(
  guard: ClientGuard,
  incoming: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const received = await guard.readBody(incoming, {
    maximumBytes: MAXIMUM_BODY_BYTES,
    expiresAt: monotonicClock() + RECEIVE_MILLISECONDS,
  });
  if (received.kind !== BodyEndKind.Complete) {
    throw new RangeError(`request body not received: ${received.kind}`);
  }
  const body = parseObject(received.bytes);
  received.release();
  const outcomes = body === undefined ? {} : await forwardPrepare(body);
  response.writeHead(200, { 'content-type': 'application/json' });
  response.end(JSON.stringify(outcomes));
}

/** Starts the listener; errors of its socket are logged and do not end the process. */
export function startInstanceListener(options: InstanceListenerOptions): Server {
  const { guard, logger } = options;
  const server = createServer((incoming, response) => {
    if (options.respondWithCopy(incoming, response)) return;
    if (incoming.url !== RelayPath.ForwardPrepare) {
      incoming.resume();
      response.writeHead(404);
      response.end();
      return;
    }
    relayPrepare(guard, incoming, response).catch((thrown: unknown) => {
      logger.warn('prepare order not relayed', { reason: String(thrown) });
      response.destroy();
    });
  });
  guard.guard(server, { maximumConnections: guard.limits.instanceConnections });
  server.on('error', (error) =>
    logger.error('instance listener failed', { reason: error.message }),
  );
  return server.listen(options.port, options.host);
}
