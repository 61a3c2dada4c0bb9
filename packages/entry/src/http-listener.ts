/**
 * An HTTP listener, with TLS when a certificate is set, that closes without cutting off a
 * request in progress.
 */
import { readFileSync } from 'node:fs';
import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { createServer as createSecureServer } from 'node:https';

import { toLapisError } from '@lapisbridge/errors';
import type { EntrySettings } from '@lapisbridge/config';
import { createConnectionDrain } from '@lapisbridge/kernel';

import { sendProblem } from './reply.js';

export type Handler = (request: IncomingMessage, response: ServerResponse) => Promise<void>;

export interface HttpListener {
  start(): Promise<void>;
  /** Takes no new connections and resolves when the last answer is out. */
  stop(): Promise<void>;
}

const HEADERS_MILLISECONDS = 10_000;
const BODY_MILLISECONDS = 60_000;
const IDLE_MILLISECONDS = 65_000;
const CLOSE_IDLE_MILLISECONDS = 100;

export function createHttpListener(
  host: string,
  port: number,
  transportSecurity: EntrySettings['transportSecurity'],
  handler: Handler,
): HttpListener {
  let stopping = false;

  function onRequest(request: IncomingMessage, response: ServerResponse): void {
    // A kept connection would bring further requests to an instance that is leaving.
    if (stopping) response.setHeader('connection', 'close');
    handler(request, response).catch((thrown: unknown) => {
      sendProblem(response, toLapisError(thrown));
    });
  }

  const server: Server =
    transportSecurity === undefined
      ? createServer(onRequest)
      : createSecureServer(
          {
            cert: readFileSync(transportSecurity.certificateFile),
            key: readFileSync(transportSecurity.keyFile),
          },
          onRequest,
        );
  // A caller that sends its request byte by byte, or opens a connection and leaves, is dropped.
  server.headersTimeout = HEADERS_MILLISECONDS;
  server.requestTimeout = BODY_MILLISECONDS;
  server.keepAliveTimeout = IDLE_MILLISECONDS;
  const drain = createConnectionDrain(server);

  return {
    async start() {
      await new Promise<void>((resolve, reject) => {
        server.once('error', reject);
        server.listen(port, host, () => resolve());
      });
    },
    async stop() {
      stopping = true;
      // Immediates run after the event loop has read what has arrived: closing a connection resets
      // unread requests.
      const timer = setInterval(
        () => setImmediate(() => drain.closeIdle()),
        CLOSE_IDLE_MILLISECONDS,
      );
      await drain.stopListening();
      clearInterval(timer);
    },
  };
}
