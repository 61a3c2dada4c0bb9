/**
 * An HTTP listener, with TLS when a certificate is set, that lets requests in progress finish when
 * it stops, and ends those that do not finish in time with an error.
 */
import { readFileSync } from 'node:fs';
import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { createServer as createSecureServer } from 'node:https';

import { LapisError, ResultCode, toLapisError } from '@lapisbridge/errors';
import type { ClientGuard } from '@lapisbridge/client-limits';
import type { EntrySettings } from '@lapisbridge/config';
import { sleep } from '@lapisbridge/kernel';
import { Ran } from '@lapisbridge/types';

import { sendProblem } from './reply.js';

export type Handler = (request: IncomingMessage, response: ServerResponse) => Promise<void>;

export interface HttpListener {
  start(): Promise<void>;
  /** Closes each connection with its next answer, so that callers choose another instance. */
  beginDrain(): void;
  /**
   * Takes no new connections and resolves when the last answer is out. Requests that are not
   * answered after the given time are ended with an error. Resolves with the number of requests
   * whose answers were not out by then.
   */
  stop(maximumMilliseconds: number): Promise<number>;
}

const HANDSHAKE_MILLISECONDS = 10_000;
const HEADERS_MILLISECONDS = 10_000;
const BODY_MILLISECONDS = 60_000;
const IDLE_MILLISECONDS = 65_000;
const CLOSE_IDLE_MILLISECONDS = 100;
/** Time for the bytes of the last errors to leave. */
const LINGER_MILLISECONDS = 200;

export interface HttpListenerOptions {
  readonly host: string;
  readonly port: number;
  readonly transportSecurity: EntrySettings['transportSecurity'];
  readonly guard: ClientGuard;
  /** By default the limit for callers. */
  readonly maximumConnections?: number;
  readonly handler: Handler;
}

export function createHttpListener(options: HttpListenerOptions): HttpListener {
  const { host, port, transportSecurity, guard, handler } = options;
  const openResponses = new Set<ServerResponse>();
  let isDraining = false;

  function closeWithAnswer(response: ServerResponse): void {
    response.shouldKeepAlive = false;
  }

  /** Responds before the request is complete. */
  function refuse(request: IncomingMessage, response: ServerResponse, error: LapisError): void {
    guard.closeAfter(request, response);
    sendProblem(response, error);
  }

  function onRequest(request: IncomingMessage, response: ServerResponse): void {
    openResponses.add(response);
    response.once('close', () => openResponses.delete(response));
    if (isDraining) closeWithAnswer(response);
    if (!guard.admit(request, response)) {
      refuse(request, response, new LapisError(ResultCode.Overloaded, 'too many requests'));
      return;
    }
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
            handshakeTimeout: HANDSHAKE_MILLISECONDS,
          },
          onRequest,
        );
  // A caller that sends its request byte by byte, or opens a connection and leaves, is dropped.
  server.headersTimeout = HEADERS_MILLISECONDS;
  server.requestTimeout = BODY_MILLISECONDS;
  server.keepAliveTimeout = IDLE_MILLISECONDS;
  const { maximumConnections } = options;
  const drain = guard.guard(server, maximumConnections === undefined ? {} : { maximumConnections });

  function beginDrain(): void {
    isDraining = true;
    for (const response of openResponses) closeWithAnswer(response);
  }

  /** An answer that has begun is broken off, so that it does not look complete. */
  function endUnanswered(): void {
    const error = new LapisError(
      ResultCode.OutcomeUnknown,
      'the entry has stopped before the request was answered',
      { ran: Ran.Unknown },
    );
    for (const response of openResponses) {
      if (response.writableEnded) continue;
      if (response.headersSent) response.destroy();
      else sendProblem(response, error);
    }
  }

  return {
    beginDrain,
    async start() {
      await new Promise<void>((resolve, reject) => {
        server.once('error', reject);
        server.listen(port, host, () => resolve());
      });
    },
    async stop(maximumMilliseconds) {
      beginDrain();
      // Immediates run after the event loop has read what has arrived: closing a connection resets
      // unread requests.
      const timer = setInterval(
        () => setImmediate(() => drain.closeIdle(CLOSE_IDLE_MILLISECONDS)),
        CLOSE_IDLE_MILLISECONDS,
      );
      let unanswered = 0;
      let limit: NodeJS.Timeout | undefined;
      const timeIsUp = new Promise<void>((resolve) => {
        limit = setTimeout(resolve, maximumMilliseconds);
      }).then(() => {
        unanswered = openResponses.size;
        endUnanswered();
        return sleep(LINGER_MILLISECONDS);
      });
      await Promise.race([drain.stopListening(), timeIsUp]);
      clearTimeout(limit);
      clearInterval(timer);
      server.closeAllConnections();
      return unanswered;
    },
  };
}
