/**
 * Serves a stream of events. When its backend server fails in the middle, a stream that may be
 * continued goes on at another server behind the last event the caller has; any other one is
 * broken off visibly, so that the caller never takes a part for the whole.
 */
import type { BackendServer } from '@lapisbridge/catalog';
import { LatencyKind } from '@lapisbridge/metrics';
import { ServerChoiceKind } from '@lapisbridge/routing';
import type { ServerChoice, ServerView } from '@lapisbridge/routing';

import type { AnswerHead } from './caller-protocol.js';
import { chooseServer } from './choose-server.js';
import type { StreamEvent } from './event-splitter.js';
import { remainingOf, startProgress } from './forward-context.js';
import type { AcceptedRequest, ForwardContext } from './forward-context.js';
import { EndKind, noteOutcome } from './note-outcome.js';
import type { RequestEnd } from './note-outcome.js';
import { describeOutcome, OutcomeKind, proveNotRun } from './outcome.js';
import type { Outcome } from './outcome.js';
import { fail, refuse } from './own-answer.js';
import { canOffer } from './plan-offer.js';
import { planRefusalCause, RefusalCause } from './plan-retry-after.js';
import { roundedOrNone } from './rounded-or-none.js';
import { DelayKind, REFUSAL_OF, waitOut } from './stream-delay.js';
import type { Delay } from './stream-delay.js';
import { startStreamAttempt, StreamEndKind } from './stream-attempt.js';
import type { StreamAttempt, StreamEnd, StreamSink } from './stream-attempt.js';

/** Silence after which a server is looked at; callers leave after two seconds. */
const SILENCE_MILLISECONDS = 1000;
const SILENCE_CHECK_MILLISECONDS = 200;
/** Sends of one stream before its service is taken to be full. */
const MAXIMUM_SENDS = 3;

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
  lastEventId: number | undefined;
  lastEventAt: number;
  /** From the request's arrival to its first event. */
  firstEventMilliseconds: number | undefined;
  /** Between two events. */
  longestPauseMilliseconds: number;
  /** Sends refused since the server's group stood still: they say nothing of the service's load. */
  groupRefusals: number;
  isExpired: boolean;
  current: StreamAttempt | undefined;
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

/** What keeps a stream from being sent now; undefined where a server was chosen or none is left. */
function delayOf(context: ForwardContext, choice: ServerChoice): Delay | undefined {
  switch (choice.kind) {
    case ServerChoiceKind.AllBroken: {
      const { brokenForMilliseconds } = choice;
      return {
        kind: DelayKind.GroupBroken,
        brokenForMilliseconds,
        chanceOfReturn: (within) =>
          context.groupHealth.chanceOfReturn(brokenForMilliseconds, within),
      };
    }
    case ServerChoiceKind.AllCrowded:
      return { kind: DelayKind.Crowded };
    case ServerChoiceKind.AllLimited:
      return { kind: DelayKind.Limited, roomInMilliseconds: choice.roomInMilliseconds };
    case ServerChoiceKind.Chosen:
    case ServerChoiceKind.NoneLeft:
      return undefined;
    default: {
      const unreachable: never = choice;
      return unreachable;
    }
  }
}

/** Serves one stream to its end. */
export async function serveStream(
  context: ForwardContext,
  accepted: AcceptedRequest,
): Promise<void> {
  const { answer, route, service, request } = accepted;
  const progress = startProgress();
  const state: StreamState = {
    lastEventId: request.lastEventId,
    lastEventAt: context.now(),
    firstEventMilliseconds: undefined,
    longestPauseMilliseconds: 0,
    groupRefusals: 0,
    isExpired: false,
    current: undefined,
  };

  const sink: StreamSink = {
    lastEventId: () => state.lastEventId,
    onEvent(head: AnswerHead, event: StreamEvent) {
      const at = context.now();
      if (answer.hasBegun) {
        const pause = at - state.lastEventAt;
        state.longestPauseMilliseconds = Math.max(state.longestPauseMilliseconds, pause);
      } else {
        answer.begin(head.status, head.headers);
        state.firstEventMilliseconds = at - accepted.arrivedAt;
        context.metrics.observe(LatencyKind.FirstEvent, state.firstEventMilliseconds);
      }
      state.lastEventId = event.id ?? state.lastEventId;
      state.lastEventAt = at;
      return answer.write(event.bytes);
    },
    onDrain: (listener) => answer.onDrain(listener),
  };

  function silence(): number {
    return context.now() - state.lastEventAt;
  }

  function causeOf(): RefusalCause {
    return progress.sends > 0 ? RefusalCause.Full : RefusalCause.NoServer;
  }

  /** Whether a server can begin the stream in time. */
  function fits({ slots, expected, reportAge }: ServerView): boolean {
    return canOffer({
      route,
      slots,
      expectedStreams: expected,
      reportAge,
      hasBegun: answer.hasBegun,
      hasComeBack: accepted.hasComeBack,
      silenceMilliseconds: silence(),
    });
  }

  /** Starts one more attempt, or says why none can be started. */
  function startNext(): Start {
    if (state.isExpired) return { kind: StartKind.None, cause: RefusalCause.Expired };
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
    const attempt = startStreamAttempt(context, accepted, server, sink);
    state.current = attempt;
    return { kind: StartKind.Started, server, attempt };
  }

  /** Ends an attempt at a server that is silent while others of its service are not. */
  async function watch(server: BackendServer, attempt: StreamAttempt): Promise<StreamEnd> {
    const timer = setInterval(() => {
      if (silence() < SILENCE_MILLISECONDS || !mayContinue()) return;
      // Where requests wait their turn, silence is no sign of a fault, and whoever is sent to
      // the end of another queue loses the place that it has.
      if (!answer.hasBegun && context.ledger.isQueueing(server.instanceId)) return;
      if (context.pulse.isStuck(service, server.instanceId, SILENCE_MILLISECONDS)) {
        attempt.cancel('silent while others answer');
      }
    }, SILENCE_CHECK_MILLISECONDS);
    const end = await attempt.end;
    clearInterval(timer);
    state.current = undefined;
    return end;
  }

  function mayContinue(): boolean {
    return route.resumable && progress.runs < route.maximumAttempts;
  }

  function facts(): RequestEnd['facts'] {
    return {
      lastEventId: state.lastEventId,
      firstEvent: roundedOrNone(state.firstEventMilliseconds),
      longestPause: Math.round(state.longestPauseMilliseconds),
      sends: progress.sends,
    };
  }

  function noteMiss(server: BackendServer, end: StreamEnd): void {
    context.logger.decision({
      kind: 'attempt',
      subject: accepted.requestId,
      choice: server.instanceId,
      reason: 'reason' in end ? end.reason : 'whole answer',
      facts: {
        ...facts(),
        outcome: end.kind,
        milliseconds: Math.round(context.now() - accepted.arrivedAt),
      },
    });
  }

  function noteAnswer(server: BackendServer, status: number): void {
    const waited = state.firstEventMilliseconds ?? Infinity;
    noteOutcome(context, accepted, {
      kind: EndKind.Answer,
      choice: server.instanceId,
      reason: 'whole answer',
      facts: {
        ...facts(),
        status,
        isOnTime:
          waited <= route.objectiveMilliseconds &&
          state.longestPauseMilliseconds <= route.gapMilliseconds,
      },
    });
  }

  function hasGroupStopped(): boolean {
    const engine = accepted.configuration.services.get(service)?.engine;
    return engine !== undefined && engine.sets > 0 && context.pulse.hasStopped(service);
  }

  function conclude(cause: RefusalCause): void {
    const reason = progress.outcomes.map(describeOutcome).join('; ') || cause;
    const proof = answer.hasBegun ? undefined : proveNotRun(progress.outcomes, reason);
    if (proof === undefined) fail(context, accepted, reason, state.isExpired);
    else refuse(context, accepted, planRefusalCause(cause, hasGroupStopped()), proof);
  }

  answer.onGone(() => state.current?.cancel('caller gone'));
  const expiry = setTimeout(
    () => {
      state.isExpired = true;
      state.current?.cancel('time is up');
    },
    remainingOf(context, accepted),
  );
  try {
    for (;;) {
      if (answer.isOver) return;
      const start = startNext();
      if (start.kind === StartKind.Delayed) {
        const { delay } = start;
        const isOver = !(await waitOut(context, accepted, delay, silence()));
        if (isOver || state.isExpired) {
          conclude(REFUSAL_OF[delay.kind]);
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
      const { server } = start;
      const end = await watch(server, start.attempt);
      if (end.kind !== StreamEndKind.Complete) noteMiss(server, end);
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
          if (state.isExpired || !mayContinue()) {
            conclude(RefusalCause.Expired);
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
  }
}
