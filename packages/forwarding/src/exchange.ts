/**
 * One HTTP exchange with a backend server, on a connection of its own. A kept connection may
 * carry bytes of an earlier exchange, or may have been lost silently; nobody could then tell
 * whether the request was taken. A fresh one costs a round trip and rules both out. As long as
 * it is not established no byte has left, so a failure until then proves that nothing ran.
 */
import { request as httpRequest } from 'node:http';
import type { ClientRequest, IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';

export enum ExchangeEndKind {
  /** The whole answer arrived, delimited as HTTP demands. */
  Complete = 'complete',
  /** The request never left this process. */
  NotSent = 'notSent',
  /** The request may have run; the answer is missing or broken off. */
  Incomplete = 'broken',
  /** This process gave the exchange up. */
  Cancelled = 'cancelled',
}

export interface ExchangeEnd {
  readonly kind: ExchangeEndKind;
  readonly reason: string;
}

export interface ExchangeListener {
  /** Head of the answer. */
  onHead(incoming: IncomingMessage): void;
  onData(chunk: Buffer): void;
  /** Called once, last. */
  onEnd(end: ExchangeEnd): void;
}

export interface ExchangeOptions {
  readonly host: string;
  readonly port: number;
  readonly method: string;
  readonly target: string;
  /** Raw pairs. */
  readonly headers: readonly string[];
  readonly body: Buffer;
  readonly connectTimeoutMilliseconds: number;
}

export interface Exchange {
  cancel(reason: string): void;
  pause(): void;
  resume(): void;
}

/** First probe of an idle connection; a peer without power never answers on its own. */
const TCP_KEEP_ALIVE_MILLISECONDS = 1000;

/** An answer with neither a length nor chunks ends with its connection. */
function isCloseDelimited({ headers }: IncomingMessage): boolean {
  return headers['content-length'] === undefined && headers['transfer-encoding'] === undefined;
}

export function openExchange(options: ExchangeOptions, listener: ExchangeListener): Exchange {
  let ended = false;
  let connected = false;
  let isCheckingReset = false;
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
   * Whether an answer that ends with its connection ended by a close or by a reset. A reset
   * that arrives together with the last bytes reads like a close, and half an answer would pass
   * for the whole; only a write then still fails with it. An empty line does no harm: servers
   * skip it, and this one has closed its side.
   */
  function checkForReset(socket: Socket): void {
    if (response === undefined || !isCloseDelimited(response)) return;
    isCheckingReset = true;
    socket.write('\r\n', (error) => {
      if (error === null || error === undefined) end(ExchangeEndKind.Complete, 'whole answer');
      else fail(`reset at the end: ${error.message}`);
    });
  }

  function onSocket(socket: Socket): void {
    socket.setNoDelay(true);
    socket.setKeepAlive(true, TCP_KEEP_ALIVE_MILLISECONDS);
    // Node.js ends an answer without a length as complete when its connection is reset, before
    // it tells of the error; half an answer would pass for the whole. So this listener is first.
    socket.prependListener('error', (error) => fail(error.message));
    socket.prependListener('end', () => checkForReset(socket));
    socket.once('connect', () => {
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
      if (!incoming.complete) fail('answer broken off');
      else if (!isCheckingReset) end(ExchangeEndKind.Complete, 'whole answer');
    });
    incoming.on('error', (error) => fail(error.message));
    incoming.on('close', () => {
      if (!isCheckingReset) fail('connection closed within the answer');
    });
    listener.onHead(incoming);
  }

  try {
    request = httpRequest({
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
    // After a stall timers run first; the connection may have been made meanwhile.
    setImmediate(() => {
      if (!connected) fail('no connection in time');
    });
  }, options.connectTimeoutMilliseconds);
  request.on('socket', onSocket);
  request.on('response', onResponse);
  request.on('error', (error) => fail(error.message));
  request.on('close', () => {
    if (!isCheckingReset) fail('connection closed without an answer');
  });
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
