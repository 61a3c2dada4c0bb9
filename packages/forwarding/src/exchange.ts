/**
 * One HTTP exchange with a backend server, on a new connection. A reused connection may still
 * carry bytes of an earlier exchange, or may have been lost without notice; it would then be
 * unknown whether the request was received. A new connection costs one round trip and rules out
 * both. Until it is established no byte has been sent, so a failure up to then proves that the
 * request did not run.
 */
import { request as httpRequest } from 'node:http';
import type { ClientRequest, IncomingMessage } from 'node:http';
import { request as httpsRequest } from 'node:https';
import type { Socket } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';

import { probeConnection, ProbeResult } from './connection-probe.js';

export enum ExchangeEndKind {
  /** The complete response arrived, delimited as HTTP requires. */
  Complete = 'complete',
  /** The request never left this process. */
  NotSent = 'notSent',
  /** The request may have run; the response is missing or truncated. */
  Incomplete = 'broken',
  /** This process cancelled the exchange. */
  Cancelled = 'cancelled',
}

export interface ExchangeEnd {
  readonly kind: ExchangeEndKind;
  readonly reason: string;
}

export interface ExchangeListener {
  /** Called with the head of the response. */
  onHead(incoming: IncomingMessage): void;
  onData(chunk: Buffer): void;
  /** Called once, last. */
  onEnd(end: ExchangeEnd): void;
}

export interface ExchangeOptions {
  readonly host: string;
  readonly port: number;
  /** Whether the connection uses TLS; plain TCP if undefined. */
  readonly isSecure?: boolean;
  readonly method: string;
  readonly target: string;
  /** Raw pairs. */
  readonly headers: readonly string[];
  readonly body: Buffer;
  readonly connectTimeoutMilliseconds: number;
  /** Whether the server is about to stop, so that its end says nothing about a response. */
  isServerLeaving(): boolean;
}

export interface Exchange {
  cancel(reason: string): void;
  pause(): void;
  resume(): void;
}

/**
 * Idle time before the first TCP keep-alive probe. A peer that lost power never closes its
 * connections.
 */
const TCP_KEEP_ALIVE_MILLISECONDS = 1000;

/** Time for a process that is ending to close its listener after a connection. */
const SERVER_END_DELAY_MILLISECONDS = 20;

/** Informational responses (1xx) that may precede a response. */
const MAXIMUM_INFORMATIONAL_RESPONSES = 8;

/** Whether only the end of its connection delimits the response: it has no length and no chunks. */
function isCloseDelimited({ headers }: IncomingMessage): boolean {
  return headers['content-length'] === undefined && headers['transfer-encoding'] === undefined;
}

export function openExchange(options: ExchangeOptions, listener: ExchangeListener): Exchange {
  let ended = false;
  let connected = false;
  let isCheckingEnd = false;
  let isBodyRead = false;
  let response: IncomingMessage | undefined;
  let connectTimer: NodeJS.Timeout | undefined;
  let request: ClientRequest | undefined;

  function end(kind: ExchangeEndKind, reason: string): void {
    if (ended) return;
    ended = true;
    clearTimeout(connectTimer);
    request?.destroy();
    listener.onEnd({ kind, reason });
  }

  function fail(reason: string): void {
    end(connected ? ExchangeEndKind.Incomplete : ExchangeEndKind.NotSent, reason);
  }

  /**
   * Determines whether a close-delimited response ended by a close or by a reset. A reset that
   * arrives together with the last bytes reads like a close, so that half a response would count
   * as complete; only a later write still fails because of it. The empty line written here does no
   * harm: servers skip it, and this one has closed its side.
   */
  function checkForReset(socket: Socket): void {
    if (response === undefined || !isCloseDelimited(response)) return;
    isCheckingEnd = true;
    socket.write('\r\n', (error) => {
      if (error === null || error === undefined) void checkForServerEnd();
      else fail(`connection reset at the end of the response: ${error.message}`);
    });
  }

  /**
   * A server process that is killed closes its connections like one that has finished. Without a
   * length, only the server's end tells that the response may be truncated.
   */
  async function checkForServerEnd(): Promise<void> {
    const hasEnded = !options.isServerLeaving() && (await hasServerEnded());
    isCheckingEnd = false;
    if (hasEnded) fail('server ended at the end of the response');
    else completeIfRead();
  }

  async function hasServerEnded(): Promise<boolean> {
    // A process that is killed closes its connections before its listener.
    await delay(SERVER_END_DELAY_MILLISECONDS);
    return (await probeConnection(options)) === ProbeResult.Refused;
  }

  /** A paused response is received before its body has been read. */
  function completeIfRead(): void {
    if (isBodyRead && !isCheckingEnd) end(ExchangeEndKind.Complete, 'complete response');
  }

  /**
   * Whether the response is complete whatever becomes of its connection. It may be paused, and
   * part of its body not read yet.
   */
  function isReceived(): boolean {
    return response !== undefined && response.complete && !isCloseDelimited(response);
  }

  /** Handles the loss of the connection; a close-delimited response has been checked before. */
  function onConnectionClosed(reason: string): void {
    if (!isCheckingEnd && response?.complete !== true) fail(reason);
  }

  function onConnectionError(error: Error): void {
    if (!isReceived()) fail(error.message);
  }

  function onSocket(socket: Socket): void {
    socket.setNoDelay(true);
    socket.setKeepAlive(true, TCP_KEEP_ALIVE_MILLISECONDS);
    // When a connection is reset, Node.js ends a response without a length as complete before it
    // emits the error, so that half a response would count as complete. This listener therefore
    // runs first.
    socket.prependListener('error', onConnectionError);
    socket.prependListener('end', () => checkForReset(socket));
    socket.once(options.isSecure === true ? 'secureConnect' : 'connect', () => {
      connected = true;
      clearTimeout(connectTimer);
    });
  }

  function onResponse(incoming: IncomingMessage): void {
    if (ended) return;
    response = incoming;
    incoming.on('data', (chunk: Buffer) => {
      if (!ended) listener.onData(chunk);
    });
    incoming.on('end', () => {
      isBodyRead = true;
      if (incoming.complete) completeIfRead();
      else fail('response truncated');
    });
    incoming.on('error', (error) => fail(error.message));
    incoming.on('close', () =>
      onConnectionClosed('connection closed before the end of the response'),
    );
    listener.onHead(incoming);
  }

  try {
    const openRequest = options.isSecure === true ? httpsRequest : httpRequest;
    request = openRequest({
      host: options.host,
      port: options.port,
      method: options.method,
      path: options.target,
      headers: [...options.headers, 'Connection', 'close'] as unknown as Record<string, string>,
      setHost: false,
      agent: false,
    });
  } catch (thrown) {
    queueMicrotask(() => fail(String(thrown)));
    return { cancel: () => undefined, pause: () => undefined, resume: () => undefined };
  }
  connectTimer = setTimeout(() => {
    // After a stall of the event loop, timers run before I/O callbacks; the connection may have
    // been established meanwhile.
    setImmediate(() => {
      if (!connected) fail('connection timed out');
    });
  }, options.connectTimeoutMilliseconds);
  let informationalResponses = 0;
  request.on('information', () => {
    informationalResponses += 1;
    if (informationalResponses > MAXIMUM_INFORMATIONAL_RESPONSES)
      fail('too many informational responses');
  });
  request.on('socket', onSocket);
  request.on('response', onResponse);
  request.on('error', onConnectionError);
  request.on('close', () => onConnectionClosed('connection closed without a response'));
  request.end(options.body);
  return {
    cancel(reason) {
      end(connected ? ExchangeEndKind.Cancelled : ExchangeEndKind.NotSent, reason);
    },
    pause() {
      response?.pause();
    },
    resume() {
      response?.resume();
    },
  };
}
