/**
 * The answer to one caller. It begins once and ends once, as a whole answer or visibly broken
 * off: an answer that was cut short must never look complete.
 */
import type { ServerResponse } from 'node:http';

export interface CallerAnswer {
  /** A whole answer at once. */
  send(status: number, headers: readonly string[], body: Buffer): void;
  begin(status: number, headers: readonly string[]): void;
  /** False when the caller reads too slowly; `onDrain` tells when to go on. */
  write(bytes: Buffer): boolean;
  onDrain(listener: () => void): void;
  finish(): void;
  /** Ends the connection without ending the answer. */
  breakOff(): void;
  readonly hasBegun: boolean;
  readonly isOver: boolean;
  /** Calls back once when the caller closes its connection before the answer is complete. */
  onGone(listener: () => void): void;
  /** Whether the caller closed its connection before the answer was complete. */
  readonly hasLeft: boolean;
  /** Status that was sent; 0 before. */
  readonly status: number;
}

export function createCallerAnswer(response: ServerResponse): CallerAnswer {
  let over = false;
  let gone = false;
  let hasLeft = false;
  let status = 0;
  const goneListeners: (() => void)[] = [];

  response.on('error', () => undefined);
  response.on('close', () => {
    gone = true;
    if (over) return;
    over = true;
    hasLeft = true;
    for (const listener of goneListeners) listener();
  });

  function begin(sentStatus: number, headers: readonly string[]): void {
    status = sentStatus;
    response.sendDate = false;
    response.writeHead(sentStatus, [...headers] as unknown as Record<string, string>);
  }

  return {
    send(sentStatus, headers, body) {
      if (over) return;
      over = true;
      begin(sentStatus, headers);
      response.end(body);
    },
    begin(sentStatus, headers) {
      if (!over) begin(sentStatus, headers);
    },
    write(bytes) {
      return over ? true : response.write(bytes);
    },
    onDrain(listener) {
      response.once('drain', listener);
    },
    finish() {
      if (over) return;
      over = true;
      response.end();
    },
    breakOff() {
      if (over) return;
      over = true;
      response.destroy();
    },
    get hasBegun() {
      return response.headersSent;
    },
    get isOver() {
      return over;
    },
    get hasLeft() {
      return hasLeft;
    },
    get status() {
      return status;
    },
    onGone(listener) {
      if (gone) listener();
      else goneListeners.push(listener);
    },
  };
}
