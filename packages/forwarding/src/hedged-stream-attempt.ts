/**
 * An attempt at a stream that is sent to a second server as well while its first event is later
 * than usual. The attempt whose event arrives first goes on, and the other is cancelled at once. A
 * duplicate is sent only within the operators' limit, and only for a stream that may be repeated.
 */
import type { BackendServer } from '@lapisbridge/catalog';

import type { AcceptedRequest, ForwardContext, RequestProgress } from './forward-context.js';
import type { RetryAccount } from './retry-account.js';
import type { AttemptContent } from './server-end-detector.js';
import { startStreamAttempt, StreamEndKind } from './stream-attempt.js';
import type { StreamAttempt, StreamEnd, StreamSink } from './stream-attempt.js';
import { toStreamOutcome } from './stream-outcome.js';
import { recordHedgeWinner, takeHedge } from './take-hedge.js';
import type { HedgeRequest } from './take-hedge.js';

export interface HedgedStreamOptions {
  readonly context: ForwardContext;
  readonly accepted: AcceptedRequest;
  readonly progress: RequestProgress;
  readonly retries: RetryAccount;
  readonly maximumSends: number;
  readonly server: BackendServer;
  readonly content: AttemptContent;
  readonly sink: StreamSink;
  readonly isMoved: boolean;
  readonly canServeInTime: HedgeRequest['canServeInTime'];
}

export function startHedgedStreamAttempt(options: HedgedStreamOptions): StreamAttempt {
  const { context, accepted, server, content, sink, isMoved } = options;
  const { route, response } = accepted;
  const isLimited = context.hedges?.isEnabled() === true;
  if (isLimited && route.resumable && !response.hasBegun) return startRace(options);
  return startStreamAttempt(context, accepted, server, content, sink, isMoved);
}

interface Racer {
  readonly attempt: StreamAttempt;
  readonly isHedge: boolean;
  hasEnded: boolean;
}

/** An error response that is forwarded unless the other attempt does better. */
interface ErrorResponse {
  readonly racer: Racer;
  readonly end: StreamEnd;
}

function isServerError(end: StreamEnd): boolean {
  return end.kind === StreamEndKind.Answered && end.head.status >= 500;
}

function startRace(options: HedgedStreamOptions): StreamAttempt {
  const { context, accepted, progress, retries, sink } = options;
  const { route, service } = accepted;
  const { hedges, now } = context;
  const startedAt = now();
  const racers: Racer[] = [];
  let winner: Racer | undefined;
  let errorResponse: ErrorResponse | undefined;
  /** The attempt whose end is the end of the race. */
  let last: Racer | undefined;
  let hasDuplicate = false;
  let timer: NodeJS.Timeout | undefined;
  let finish: (end: StreamEnd) => void = () => undefined;
  const end = new Promise<StreamEnd>((resolve) => {
    finish = resolve;
  });

  function declareWinner(racer: Racer): void {
    winner = racer;
    clearTimeout(timer);
    const elapsedMilliseconds = now() - startedAt;
    hedges?.recordResponse(route.name, elapsedMilliseconds);
    const other = racers.find((one) => one !== racer && !one.hasEnded);
    other?.attempt.cancel('another server answered first');
    if (!hasDuplicate) return;
    const { attempt, isHedge } = racer;
    const overtaken = isHedge ? other?.attempt.server : undefined;
    const hedgeWinner = { server: attempt.server, isHedge, overtaken };
    recordHedgeWinner(context, accepted, hedgeWinner, elapsedMilliseconds);
  }

  /** Passes on the events of the attempt that wins. */
  function createRacingSink(findRacer: () => Racer | undefined): StreamSink {
    return {
      lastEventId: sink.lastEventId,
      onEvent(head, event) {
        const racer = findRacer();
        if (winner === undefined && racer !== undefined) declareWinner(racer);
        return winner === racer ? sink.onEvent(head, event) : true;
      },
      onDrain: sink.onDrain,
    };
  }

  function startRacer(server: BackendServer, content: AttemptContent, isHedge: boolean): Racer {
    const racingSink = createRacingSink(() => racers.find((racer) => racer.isHedge === isHedge));
    const { isMoved } = options;
    const attempt = startStreamAttempt(context, accepted, server, content, racingSink, isMoved);
    const racer = { attempt, isHedge, hasEnded: false };
    racers.push(racer);
    void attempt.end.then((attemptEnd) => onRacerEnd(racer, attemptEnd));
    return racer;
  }

  /** Of two attempts, one that was never sent leaves no duplicate. */
  function returnUnsent(attemptEnd: StreamEnd): void {
    if (attemptEnd.kind !== StreamEndKind.NotRun || attemptEnd.wasSent || !hasDuplicate) return;
    hasDuplicate = false;
    hedges?.refund(service);
  }

  /** Counts the end of an attempt that is not the end of the race. */
  function recordOtherEnd({ attempt }: Racer, attemptEnd: StreamEnd): void {
    progress.outcomes.push(toStreamOutcome(attemptEnd));
    if (attemptEnd.kind !== StreamEndKind.NotRun) return;
    progress.runs -= 1;
    if (!attemptEnd.wasSent) retries.onNotSent();
    if (attemptEnd.isGroupBroken) context.groupHealth.recordRefusal(attempt.server);
  }

  function logFailedRacer({ attempt }: Racer, attemptEnd: StreamEnd): void {
    context.logger.decision({
      kind: 'attempt',
      subject: accepted.requestId,
      choice: attempt.server.instanceId,
      reason: 'reason' in attemptEnd ? attemptEnd.reason : 'complete response',
      facts: {
        outcome: attemptEnd.kind,
        sends: progress.sends,
        content: attemptEnd.kind === StreamEndKind.Incomplete ? accepted.digest.full() : undefined,
        milliseconds: Math.round(now() - accepted.arrivedAt),
      },
    });
  }

  function finishWith(racer: Racer, attemptEnd: StreamEnd): void {
    clearTimeout(timer);
    last = racer;
    finish(attemptEnd);
  }

  function onRacerEnd(racer: Racer, attemptEnd: StreamEnd): void {
    racer.hasEnded = true;
    returnUnsent(attemptEnd);
    if (winner === racer) {
      finishWith(racer, attemptEnd);
      return;
    }
    if (winner !== undefined) {
      recordOtherEnd(racer, attemptEnd);
      return;
    }
    if (attemptEnd.kind === StreamEndKind.Answered && !isServerError(attemptEnd)) {
      declareWinner(racer);
      finishWith(racer, attemptEnd);
      return;
    }
    if (racers.some((other) => !other.hasEnded)) {
      if (isServerError(attemptEnd)) {
        errorResponse = { racer, end: attemptEnd };
        return;
      }
      logFailedRacer(racer, attemptEnd);
      recordOtherEnd(racer, attemptEnd);
      return;
    }
    if (errorResponse === undefined) {
      finishWith(racer, attemptEnd);
      return;
    }
    logFailedRacer(racer, attemptEnd);
    recordOtherEnd(racer, attemptEnd);
    finishWith(errorResponse.racer, errorResponse.end);
  }

  function hedge(): void {
    const taken = takeHedge({
      ...options,
      isRepeatable: route.resumable && !accepted.response.hasBegun,
      elapsedMilliseconds: now() - startedAt,
    });
    if (taken === undefined) return;
    hasDuplicate = true;
    const { attempt } = startRacer(taken.server, taken.content, true);
    progress.settlements.push(attempt.settled);
  }

  const first = startRacer(options.server, options.content, false);
  const lateAfterMilliseconds = hedges?.lateAfterMilliseconds(route.name);
  if (lateAfterMilliseconds !== undefined) timer = setTimeout(hedge, lateAfterMilliseconds);

  /** The attempt that goes on, or the first one that is still running. */
  function current(): Racer {
    return last ?? winner ?? racers.find(({ hasEnded }) => !hasEnded) ?? first;
  }

  return {
    get server() {
      return current().attempt.server;
    },
    end,
    settled: first.attempt.settled,
    cancel(reason) {
      clearTimeout(timer);
      for (const { attempt } of racers) attempt.cancel(reason);
    },
    abandon: (reason) => current().attempt.abandon(reason),
  };
}
