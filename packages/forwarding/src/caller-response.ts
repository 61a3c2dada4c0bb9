/**
 * The HTTP response to one caller. It starts once and ends once, either complete or visibly
 * aborted: a truncated response must never look complete.
 */
import type { ServerResponse } from 'node:http';

export interface CallerResponse {
  /** Sends a complete response. */
  send(status: number, headers: readonly string[], body: Buffer): void;
  begin(status: number, headers: readonly string[]): void;
  /** Returns false when the caller reads too slowly; `onDrain` tells when to continue. */
  write(bytes: Buffer): boolean;
  onDrain(listener: () => void): void;
  finish(): void;
  /** Closes the connection without completing the response. */
  abort(): void;
  readonly hasBegun: boolean;
  readonly isEnded: boolean;
  /** Calls back once when the caller closes its connection before the response is complete. */
  onDisconnect(listener: () => void): void;
  /** Whether the caller closed its connection before the response was complete. */
  readonly hasDisconnected: boolean;
  /** Status code that was sent; 0 before. */
  readonly status: number;
}

export function createCallerResponse(response: ServerResponse): CallerResponse {
  let isEnded = false;
  let isClosed = false;
  let hasDisconnected = false;
  let status = 0;
  const disconnectListeners: (() => void)[] = [];

  response.on('error', () => undefined);
  response.on('close', () => {
    isClosed = true;
    if (isEnded) return;
    isEnded = true;
    hasDisconnected = true;
    for (const listener of disconnectListeners) listener();
  });

  function begin(sentStatus: number, headers: readonly string[]): void {
    status = sentStatus;
    response.sendDate = false;
    response.writeHead(sentStatus, [...headers] as unknown as Record<string, string>);
  }

  return {
    send(sentStatus, headers, body) {
      if (isEnded) return;
      isEnded = true;
      begin(sentStatus, headers);
      response.end(body);
    },
    begin(sentStatus, headers) {
      if (!isEnded) begin(sentStatus, headers);
    },
    write(bytes) {
      return isEnded ? true : response.write(bytes);
    },
    onDrain(listener) {
      response.once('drain', listener);
    },
    finish() {
      if (isEnded) return;
      isEnded = true;
      response.end();
    },
    abort() {
      if (isEnded) return;
      isEnded = true;
      response.destroy();
    },
    get hasBegun() {
      return response.headersSent;
    },
    get isEnded() {
      return isEnded;
    },
    get hasDisconnected() {
      return hasDisconnected;
    },
    get status() {
      return status;
    },
    onDisconnect(listener) {
      if (isClosed) listener();
      else disconnectListeners.push(listener);
    },
  };
}
