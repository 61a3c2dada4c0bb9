/**
 * Requests in flight at a listener, and how those ended that a shutdown met. A request is in flight
 * from its head until its response has been passed to the connection, or the connection is closed.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

export enum RequestStage {
  /** Its body is not complete yet. */
  Receiving = 'receiving',
  /** Complete, and not sent to any backend server. */
  Pending = 'pending',
  /** Sent to a backend server; its caller has received nothing yet. */
  Forwarded = 'forwarded',
  /** The response has begun. */
  Responding = 'responding',
  /** The response is complete, and bytes of it have not been passed to the connection yet. */
  Flushing = 'flushing',
}

export enum ShutdownOutcome {
  /** The whole response was passed to the connection. */
  Complete = 'complete',
  /** Responded with 502 or 504, by the entry or the server: it may have run. */
  Failed = 'failed',
  /** Rejected with `Retry-After`, before it was sent to any backend server. */
  Refused = 'refused',
  /** The connection was closed without a whole response, by the entry or the caller. */
  Incomplete = 'incomplete',
}

/** Whether a request was in flight when the shutdown began, or came later. */
export enum ShutdownArrival {
  InFlight = 'inFlight',
  Later = 'later',
}

export interface ShutdownCount extends Readonly<Record<ShutdownOutcome, number>> {
  readonly arrival: ShutdownArrival;
}

export interface InFlightRequest {
  /** States its id and route once they are known. */
  identify(requestId: string, route: string): void;
  recordForwarded(): void;
}

/** A request that has no whole response yet. */
export interface UnfinishedRequest {
  readonly requestId: string | undefined;
  readonly route: string | undefined;
  readonly stage: RequestStage;
  readonly ageMilliseconds: number;
}

export interface InFlightRequests {
  track(incoming: IncomingMessage, response: ServerResponse): InFlightRequest;
  count(): number;
  countsByStage(): Readonly<Partial<Record<RequestStage, number>>>;
  /**
   * From now on, each response that begins closes its connection unless another request is in
   * flight on it, and requests are counted by how they end.
   */
  beginShutdown(): void;
  /** Requests that have ended since the shutdown began; all are zero before. */
  shutdownCounts(): readonly ShutdownCount[];
  /** Oldest first. */
  listUnfinished(): readonly UnfinishedRequest[];
}

const SERVICE_UNAVAILABLE = 503;
const BAD_GATEWAY = 502;
const GATEWAY_TIMEOUT = 504;

interface TrackedRequest {
  readonly incoming: IncomingMessage;
  readonly response: ServerResponse;
  readonly arrivedAt: number;
  readonly arrival: ShutdownArrival;
  requestId: string | undefined;
  route: string | undefined;
  isForwarded: boolean;
}

function stageOf({ incoming, response, isForwarded }: TrackedRequest): RequestStage {
  if (response.writableEnded) return RequestStage.Flushing;
  if (response.headersSent) return RequestStage.Responding;
  if (isForwarded) return RequestStage.Forwarded;
  return incoming.complete ? RequestStage.Pending : RequestStage.Receiving;
}

function outcomeOf({ response, isForwarded }: TrackedRequest): ShutdownOutcome {
  if (!response.writableFinished) return ShutdownOutcome.Incomplete;
  const { statusCode } = response;
  if (statusCode === BAD_GATEWAY || statusCode === GATEWAY_TIMEOUT) return ShutdownOutcome.Failed;
  return statusCode === SERVICE_UNAVAILABLE && !isForwarded
    ? ShutdownOutcome.Refused
    : ShutdownOutcome.Complete;
}

export function createInFlightRequests(now: () => number): InFlightRequests {
  const tracked = new Set<TrackedRequest>();
  const counts: Record<ShutdownArrival, Record<ShutdownOutcome, number>> = {
    [ShutdownArrival.InFlight]: { complete: 0, failed: 0, refused: 0, incomplete: 0 },
    [ShutdownArrival.Later]: { complete: 0, failed: 0, refused: 0, incomplete: 0 },
  };
  let isShuttingDown = false;

  /** Pipelined requests share a connection, which has to stay open until the last response. */
  function closeAfterLast(socket: Socket): void {
    let last: ServerResponse | undefined;
    for (const { incoming, response } of tracked) {
      if (incoming.socket !== socket) continue;
      if (last !== undefined) last.shouldKeepAlive = true;
      last = response;
      last.shouldKeepAlive = false;
    }
  }

  return {
    track(incoming, response) {
      const request: TrackedRequest = {
        incoming,
        response,
        arrivedAt: now(),
        arrival: isShuttingDown ? ShutdownArrival.Later : ShutdownArrival.InFlight,
        requestId: undefined,
        route: undefined,
        isForwarded: false,
      };
      tracked.add(request);
      if (isShuttingDown) closeAfterLast(incoming.socket);
      response.once('close', () => {
        tracked.delete(request);
        if (isShuttingDown) counts[request.arrival][outcomeOf(request)] += 1;
      });
      return {
        identify(requestId, route) {
          request.requestId = requestId;
          request.route = route;
        },
        recordForwarded() {
          request.isForwarded = true;
        },
      };
    },
    count: () => tracked.size,
    countsByStage() {
      const byStage: Partial<Record<RequestStage, number>> = {};
      for (const request of tracked) {
        const stage = stageOf(request);
        byStage[stage] = (byStage[stage] ?? 0) + 1;
      }
      return byStage;
    },
    beginShutdown() {
      isShuttingDown = true;
      for (const { incoming } of tracked) closeAfterLast(incoming.socket);
    },
    shutdownCounts: () =>
      Object.values(ShutdownArrival).map((arrival) => ({ arrival, ...counts[arrival] })),
    listUnfinished() {
      const unfinished: UnfinishedRequest[] = [];
      for (const request of tracked) {
        unfinished.push({
          requestId: request.requestId,
          route: request.route,
          stage: stageOf(request),
          ageMilliseconds: Math.round(now() - request.arrivedAt),
        });
      }
      return unfinished;
    },
  };
}
