/**
 * Serves a stream of events. When its backend server fails in the middle, a stream that may be
 * continued goes on at another server behind the last event the caller has; any other one is
 * broken off visibly, so that the caller never takes a part for the whole.
 */
import type { BackendServer } from '@lapisbridge/catalog';
import type { ServerView } from '@lapisbridge/routing';

import { chooseServer } from './choose-server.js';
import { remainingOf, startProgress } from './forward-context.js';
import type { AcceptedRequest, ForwardContext } from './forward-context.js';
import { EndKind, noteOutcome } from './note-outcome.js';
import { describeOutcome, OutcomeKind, proveNotRun } from './outcome.js';
import type { Outcome } from './outcome.js';
import { fail, refuse } from './own-answer.js';
import { canOffer } from './plan-offer.js';
import { planRefusalCause, RefusalCause } from './plan-retry-after.js';
import { planEventTimeout } from './plan-wait.js';
import { roundedOrNone } from './rounded-or-none.js';
import { DelayKind, delayOf, REFUSAL_OF, waitOut } from './stream-delay.js';
import type { Delay } from './stream-delay.js';
import { startStreamAttempt, StreamEndKind } from './stream-attempt.js';
import type { StreamAttempt, StreamEnd } from './stream-attempt.js';
import { createStreamRecord } from './stream-record.js';
import { watchStuck } from './stuck-watch.js';

/** Sends of one stream before its service is taken to be full. */
const MAXIMUM_SENDS = 3;

/** Between two looks at a stream that is overdue. */
const RECHECK_MILLISECONDS = 20;

enum StartKind {
  Started = 'started',
  Delayed = 'delayed',
  None = 'none',
}

type Start =
  | {
      readonly kind: StartKind.Started;
      readonly server: BackendServer;
      readonly attempt: StreamAttempt;
    }
  | { readonly kind: StartKind.Delayed; readonly delay: Delay }
  | { readonly kind: StartKind.None; readonly cause: RefusalCause };

interface StreamState {
  /** Sends refused since the server's group stood still: they say nothing of the service's load. */
  groupRefusals: number;
  /** Why its time is up; undefined while it is not. */
  timeout: RefusalCause | undefined;
  /** Taken from a server that gave no sign of life, before its first event. */
  isMoved: boolean;
  current: StreamAttempt | undefined;
  /** Where the current attempt is, or the latest was. */
  server: BackendServer | undefined;
}

function toOutcome(end: StreamEnd): Outcome {
  switch (end.kind) {
    case StreamEndKind.Complete:
      return { kind: OutcomeKind.Unknown, reason: 'complete' };
    case StreamEndKind.Answered:
      return { kind: OutcomeKind.Answered, head: end.head, body: end.body };
    case StreamEndKind.NotRun:
      return { kind: OutcomeKind.NotRun, reason: end.reason, wasRefused: end.wasRefused };
    case StreamEndKind.Broken:
      return { kind: OutcomeKind.Unknown, reason: end.reason };
    default: {
      const unreachable: never = end;
      return unreachable;
    }
  }
}

/** Serves one stream to its end. */
export async function serveStream(
  context: ForwardContext,
  accepted: AcceptedRequest,
): Promise<void> {
  const { answer, route, service } = accepted;
  const progress = startProgress();
  const record = createStreamRecord(context, accepted);
  const state: StreamState = {
    groupRefusals: 0,
    timeout: undefined,
    isMoved: false,
    current: undefined,
    server: undefined,
  };

  function causeOf(): RefusalCause {
    return progress.sends > 0 ? RefusalCause.Full : RefusalCause.NoServer;
  }

  /** Whether a server can begin the stream in time. */
  function fits({
    slots,
    expectedOutstanding: expected,
    reportAgeMilliseconds: reportAge,
    typicalResponseMilliseconds: typicalMilliseconds,
  }: ServerView): boolean {
    return canOffer({
      route,
      slots,
      expectedStreams: expected,
      typicalMilliseconds,
      reportAge,
      hasBegun: answer.hasBegun,
      isMoved: state.isMoved,
      isRetry: accepted.isRetry,
      idleMilliseconds: record.idleMilliseconds(),
    });
  }

  /** Starts one more attempt, or says why none can be started. */
  function startNext(): Start {
    if (state.timeout !== undefined) return { kind: StartKind.None, cause: state.timeout };
    if (progress.sends - state.groupRefusals >= MAXIMUM_SENDS) {
      return { kind: StartKind.None, cause: RefusalCause.Full };
    }
    const { choice, server } = chooseServer(context, accepted, progress, fits);
    const delay = delayOf(context, choice);
    if (delay !== undefined) return { kind: StartKind.Delayed, delay };
    if (server === undefined) return { kind: StartKind.None, cause: causeOf() };
    if (progress.sends > 0 && !context.retryShare.spend(service)) {
      return { kind: StartKind.None, cause: RefusalCause.BudgetSpent };
    }
    progress.sends += 1;
    progress.runs += 1;
    progress.tried.add(server.instanceId);
    const attempt = startStreamAttempt(context, accepted, server, record.sink, state.isMoved);
    state.current = attempt;
    state.server = server;
    return { kind: StartKind.Started, server, attempt };
  }

  function mayContinue(): boolean {
    return route.resumable && progress.runs < route.maximumAttempts;
  }

  function noteMiss(server: BackendServer, end: StreamEnd): void {
    context.logger.decision({
      kind: 'attempt',
      subject: accepted.requestId,
      choice: server.instanceId,
      reason: 'reason' in end ? end.reason : 'whole answer',
      facts: {
        ...record.facts(),
        silence: roundedOrNone(context.liveness.silenceMilliseconds(server.instanceId)),
        sends: progress.sends,
        outcome: end.kind,
        milliseconds: Math.round(context.now() - accepted.arrivedAt),
      },
    });
  }

  function noteAnswer(server: BackendServer, status: number): void {
    noteOutcome(context, accepted, {
      kind: EndKind.Answer,
      choice: server.instanceId,
      reason: 'whole answer',
      facts: {
        ...record.facts(),
        sends: progress.sends,
        status,
        isOnTime: record.isOnTime(),
      },
    });
  }

  function hasGroupStopped(): boolean {
    const engine = accepted.configuration.services.get(service)?.engine;
    return engine !== undefined && engine.sets > 0 && context.pulse.hasStopped(service);
  }

  /** Milliseconds until the stream is likely to be served; undefined where nothing tells. */
  function likelyOf(cause: RefusalCause, delay: Delay | undefined): number | undefined {
    if (cause === RefusalCause.GroupBroken) {
      const isBroken = delay?.kind === DelayKind.GroupBroken;
      return context.groupHealth.likelyReturn(isBroken ? delay.brokenForMilliseconds : 0);
    }
    return delay?.kind === DelayKind.BackingOff ? delay.roomInMilliseconds : undefined;
  }

  /** `delay` is what kept the stream from being sent at last. */
  function conclude(cause: RefusalCause, delay?: Delay): void {
    const reason = progress.outcomes.map(describeOutcome).join('; ') || cause;
    const proof = answer.hasBegun ? undefined : proveNotRun(progress.outcomes, reason);
    if (proof === undefined) {
      fail(context, accepted, reason, state.timeout !== undefined);
      return;
    }
    const likelyCause = planRefusalCause(cause, hasGroupStopped());
    refuse(context, accepted, likelyCause, proof, likelyOf(likelyCause, delay));
  }

  function timeOut(cause: RefusalCause, reason: string): void {
    state.timeout = cause;
    state.current?.cancel(reason);
  }

  /** A stream that has begun may still go on at a server that is there, up to its last moment. */
  function mayTimeOut(): boolean {
    if (!answer.hasBegun || state.isMoved) return true;
    return state.server !== undefined && context.liveness.isSilent(state.server);
  }

  function watchPauses(): void {
    const left = planEventTimeout(route) - record.idleMilliseconds();
    if (left <= 0 && mayTimeOut())
      timeOut(RefusalCause.Crowded, 'no event before its caller leaves');
    else eventTimeout = setTimeout(watchPauses, Math.max(left, RECHECK_MILLISECONDS));
  }

  answer.onGone(() => state.current?.cancel('caller gone'));
  const expiry = setTimeout(
    () => timeOut(RefusalCause.Expired, 'time is up'),
    remainingOf(context, accepted),
  );
  let eventTimeout: NodeJS.Timeout | undefined;
  watchPauses();
  try {
    for (;;) {
      if (answer.isOver) return;
      const start = startNext();
      if (start.kind === StartKind.Delayed) {
        const { delay } = start;
        const waited = { idleMilliseconds: record.idleMilliseconds(), isMoved: state.isMoved };
        const isOver = !(await waitOut(context, accepted, delay, waited));
        if (isOver || state.timeout !== undefined) {
          conclude(REFUSAL_OF[delay.kind], delay);
          return;
        }
        // Ranks that refused for their group may run again.
        if (delay.kind === DelayKind.GroupBroken) progress.tried.clear();
        continue;
      }
      if (start.kind === StartKind.None) {
        conclude(start.cause);
        return;
      }
      const { server, attempt } = start;
      const { idleMilliseconds } = record;
      const end = await watchStuck({
        context,
        accepted,
        server,
        attempt,
        idleMilliseconds,
        mayContinue,
      });
      state.current = undefined;
      if (end.kind !== StreamEndKind.Complete) noteMiss(server, end);
      state.isMoved ||= context.liveness.isSilent(server);
      if (answer.isOver) return;
      progress.outcomes.push(toOutcome(end));
      switch (end.kind) {
        case StreamEndKind.Complete:
          noteAnswer(server, answer.status);
          answer.finish();
          return;
        case StreamEndKind.Answered:
          if (answer.hasBegun) {
            conclude(RefusalCause.Full);
            return;
          }
          noteAnswer(server, end.head.status);
          answer.send(end.head.status, end.head.headers, end.body);
          return;
        case StreamEndKind.NotRun:
          progress.runs -= 1;
          if (end.isGroupBroken) {
            state.groupRefusals += 1;
            context.groupHealth.refused(server);
          }
          break;
        case StreamEndKind.Broken:
          if (state.timeout !== undefined || !mayContinue()) {
            conclude(state.timeout ?? RefusalCause.Expired);
            return;
          }
          break;
        default: {
          const unreachable: never = end;
          throw new Error(String(unreachable));
        }
      }
    }
  } finally {
    clearTimeout(expiry);
    clearTimeout(eventTimeout);
  }
}
