/**
 * Serves a stream of events. When its backend server fails in the middle, a stream that may be
 * continued goes on at another server behind the last event the caller has; any other one is
 * broken off visibly, so that the caller never takes a part for the whole.
 */
import type { BackendServer } from '@lapisbridge/catalog';
import { sleep } from '@lapisbridge/kernel';
import { LatencyKind } from '@lapisbridge/metrics';
import { ServerChoiceKind } from '@lapisbridge/routing';

import type { AnswerHead } from './caller-protocol.js';
import { chooseServer } from './choose-server.js';
import type { StreamEvent } from './event-splitter.js';
import { remainingOf, startProgress } from './forward-context.js';
import type { AcceptedRequest, ForwardContext } from './forward-context.js';
import { describeOutcome, OutcomeKind, proveNotRun } from './outcome.js';
import type { Outcome } from './outcome.js';
import { fail, refuse } from './own-answer.js';
import { RefusalCause } from './plan-retry-after.js';
import { startStreamAttempt, StreamEndKind } from './stream-attempt.js';
import type { StreamAttempt, StreamEnd, StreamSink } from './stream-attempt.js';

/** Silence after which a server is looked at; callers leave after two seconds. */
const SILENCE_MILLISECONDS = 1000;
const SILENCE_CHECK_MILLISECONDS = 200;
/** Callers abandon a stream after a pause of two seconds; a continued one must be sooner. */
const CALLER_PATIENCE_MILLISECONDS = 1900;
/** Pause between looks at a group that forms anew. */
const GROUP_PAUSE_MILLISECONDS = 150;
/** Sends of one stream before its service is taken to be full. */
const MAXIMUM_SENDS = 3;

interface StreamState {
  lastEventId: number | undefined;
  lastEventAt: number;
  /** From the request's arrival to its first event. */
  firstEventMilliseconds: number | undefined;
  /** Between two events. */
  longestPauseMilliseconds: number;
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

function roundedOrNone(value: number | undefined): number | undefined {
  return value === undefined ? undefined : Math.round(value);
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

  /** Starts one more attempt; the cause when none can be started. */
  function startNext(): BackendServer | RefusalCause {
    if (state.isExpired) return RefusalCause.Expired;
    if (progress.sends >= MAXIMUM_SENDS) return RefusalCause.Full;
    const { choice, server } = chooseServer(context, accepted, progress);
    if (server === undefined) {
      if (choice.kind === ServerChoiceKind.AllLimited) return RefusalCause.Full;
      return progress.sends > 0 ? RefusalCause.Full : RefusalCause.NoServer;
    }
    if (progress.sends > 0 && !context.retryShare.spend(service)) return RefusalCause.BudgetSpent;
    progress.sends += 1;
    progress.runs += 1;
    progress.tried.add(server.instanceId);
    state.current = startStreamAttempt(context, accepted, server, sink);
    return server;
  }

  /** Ends an attempt at a server that is silent while others of its service are not. */
  async function watch(server: BackendServer, attempt: StreamAttempt): Promise<StreamEnd> {
    const timer = setInterval(() => {
      if (silence() < SILENCE_MILLISECONDS || !mayContinue()) return;
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

  function note(server: BackendServer, end: StreamEnd): void {
    const reason = 'reason' in end ? end.reason : 'whole answer';
    context.logger.decision({
      kind: end.kind === StreamEndKind.Complete ? 'answer' : 'attempt',
      subject: accepted.requestId,
      choice: server.instanceId,
      reason,
      facts: {
        outcome: end.kind,
        lastEventId: state.lastEventId,
        firstEvent: roundedOrNone(state.firstEventMilliseconds),
        longestPause: Math.round(state.longestPauseMilliseconds),
        milliseconds: Math.round(context.now() - accepted.arrivedAt),
        sends: progress.sends,
      },
    });
  }

  function conclude(cause: RefusalCause): void {
    const reason = progress.outcomes.map(describeOutcome).join('; ') || cause;
    const proof = answer.hasBegun ? undefined : proveNotRun(progress.outcomes, reason);
    if (proof === undefined) fail(context, accepted, reason, state.isExpired);
    else refuse(context, accepted, cause, proof);
  }

  /** Waits for a group that forms anew; false once the caller would have left. */
  async function waitForGroup(): Promise<boolean> {
    if (!answer.hasBegun) return false;
    if (silence() + GROUP_PAUSE_MILLISECONDS > CALLER_PATIENCE_MILLISECONDS) return false;
    await sleep(GROUP_PAUSE_MILLISECONDS);
    progress.tried.clear();
    return !answer.isOver && !state.isExpired;
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
      const server = startNext();
      if (typeof server === 'string') {
        conclude(server);
        return;
      }
      const end = await watch(server, state.current as StreamAttempt);
      note(server, end);
      if (answer.isOver) return;
      progress.outcomes.push(toOutcome(end));
      switch (end.kind) {
        case StreamEndKind.Complete:
          answer.finish();
          return;
        case StreamEndKind.Answered:
          if (answer.hasBegun) conclude(RefusalCause.Full);
          else answer.send(end.head.status, end.head.headers, end.body);
          return;
        case StreamEndKind.NotRun:
          progress.runs -= 1;
          if (context.isGroupBroken(server.instanceId) && !(await waitForGroup())) {
            conclude(RefusalCause.GroupBroken);
            return;
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
