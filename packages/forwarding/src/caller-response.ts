/**
 * The HTTP response to one caller. It starts once and ends once, either complete or visibly
 * aborted: a truncated response must never look complete.
 */
import type { ServerResponse } from 'node:http';

import type { BacklogSubject, CallerBacklog } from './caller-backlog.js';
import type { CutReason } from './plan-backlog-cut.js';

export interface CallerResponse {
  /** States whose response it is, and how long it may remain unread. */
  identify(subject: BacklogSubject): void;
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
  /**
   * Calls back once when the connection closes before the response is complete, whether the caller
   * closed it or the response was cut.
   */
  onDisconnect(listener: () => void): void;
  /** Whether the caller closed its connection before the response was complete. */
  readonly hasDisconnected: boolean;
  /** Why the response was cut before it was complete; undefined if it was not. */
  readonly cutReason: CutReason | undefined;
  /** Status code that was sent; 0 before. */
  readonly status: number;
}

const NO_BYTES = Buffer.alloc(0);
/** Larger bodies are passed on in pieces, so that it shows how fast the caller reads them. */
const PIECE_BYTES = 64 * 1024;
/** What the connection to a paused server holds: Node.js reads into buffers of this size. */
const PAUSED_SERVER_BYTES = 64 * 1024;

export function createCallerResponse(
  response: ServerResponse,
  callerBacklog: CallerBacklog,
): CallerResponse {
  let isEnded = false;
  let isClosed = false;
  let hasDisconnected = false;
  let cutReason: CutReason | undefined;
  let status = 0;
  /** What has not been passed to the connection yet of a complete response. */
  let remainingBody: Buffer = NO_BYTES;
  /** Size of the buffer that `remainingBody` is a part of. */
  let bodyBytes = 0;
  let disconnectListeners: (() => void)[] = [];
  const backlog = callerBacklog.track({
    heldBytes() {
      if (isClosed) return 0;
      const isServerPaused = !isEnded && response.writableNeedDrain;
      return bodyBytes + response.writableLength + (isServerPaused ? PAUSED_SERVER_BYTES : 0);
    },
    cut(reason) {
      if (!isEnded) {
        cutReason = reason;
        endDisconnected();
      }
      response.destroy();
    },
  });

  /** Drops the listeners, which would keep the request in memory until its response is read. */
  function end(): void {
    isEnded = true;
    disconnectListeners = [];
  }

  function endDisconnected(): void {
    const listeners = disconnectListeners;
    end();
    for (const listener of listeners) listener();
  }

  response.on('error', () => undefined);
  response.on('close', () => {
    isClosed = true;
    holdBody(NO_BYTES);
    backlog.close();
    if (isEnded) return;
    hasDisconnected = true;
    endDisconnected();
  });

  function holdBody(body: Buffer): void {
    remainingBody = body;
    bodyBytes = body.length;
  }

  /** Pieces are copies, since a part of a buffer keeps all of it in memory. */
  function sendRemainingBody(): void {
    while (remainingBody.length > PIECE_BYTES) {
      const piece = Buffer.from(remainingBody.subarray(0, PIECE_BYTES));
      remainingBody = remainingBody.subarray(PIECE_BYTES);
      if (remainingBody.length < bodyBytes / 2) holdBody(Buffer.from(remainingBody));
      if (!response.write(piece)) {
        response.once('drain', sendRemainingBody);
        return;
      }
    }
    const lastPiece = remainingBody;
    holdBody(NO_BYTES);
    response.end(lastPiece);
  }

  function begin(sentStatus: number, headers: readonly string[]): void {
    status = sentStatus;
    response.sendDate = false;
    response.writeHead(sentStatus, [...headers] as unknown as Record<string, string>);
  }

  return {
    identify: backlog.identify,
    send(sentStatus, headers, body) {
      if (isEnded) return;
      end();
      begin(sentStatus, headers);
      holdBody(body);
      sendRemainingBody();
      backlog.recordWritten(body.length);
    },
    begin(sentStatus, headers) {
      if (!isEnded) begin(sentStatus, headers);
    },
    write(bytes) {
      if (isEnded) return true;
      const mayContinue = response.write(bytes);
      backlog.recordWritten(bytes.length);
      return mayContinue;
    },
    onDrain(listener) {
      response.once('drain', listener);
    },
    finish() {
      if (isEnded) return;
      end();
      response.end();
    },
    abort() {
      if (isEnded) return;
      end();
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
    get cutReason() {
      return cutReason;
    },
    get status() {
      return status;
    },
    onDisconnect(listener) {
      if (isClosed) listener();
      else if (!isEnded) disconnectListeners.push(listener);
    },
  };
}
