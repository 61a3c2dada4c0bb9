/**
 * Serves a request with one whole answer. Idempotent requests are repeated on another backend
 * server after a failure, and sent to a second one when the first is late; others are sent
 * again only after proof that they did not run.
 */
import { RequestKind } from '@lapisbridge/catalog';
import { ServerChoiceKind } from '@lapisbridge/routing';
import type { ServerChoice } from '@lapisbridge/routing';

import { chooseServer } from './choose-server.js';
import { remainingOf, startProgress } from './forward-context.js';
import type { AcceptedRequest, ForwardContext } from './forward-context.js';
import { lateMilliseconds } from './late-answer.js';
import { EndKind, noteOutcome } from './note-outcome.js';
import { describeOutcome, OutcomeKind, proveNotRun } from './outcome.js';
import type { Answered, Outcome } from './outcome.js';
import { fail, refuse } from './own-answer.js';
import { startPlainAttempt } from './plain-attempt.js';
import type { RunningAttempt } from './plain-attempt.js';
import { RefusalCause } from './plan-retry-after.js';
import { planRoomWait } from './plan-wait.js';
import { roundedOrNone } from './rounded-or-none.js';

/** Sends of one request, counting those refused: beyond it the service is taken to be full. */
const MAXIMUM_SENDS = 4;
/** Below this much time a further attempt cannot be answered. */
const SHORTEST_ATTEMPT_MILLISECONDS = 10;

function isFailure({ head }: Answered): boolean {
  return head.status >= 500;
}

enum StartKind {
  Started = 'started',
  /** Every server has had what it takes for now. */
  Delayed = 'delayed',
  None = 'none',
}

type Start =
  | { readonly kind: StartKind.Started }
  | { readonly kind: StartKind.Delayed; readonly waitMilliseconds: number }
  | {
      readonly kind: StartKind.None;
      readonly cause: RefusalCause;
      /** Milliseconds until a server is likely to serve it; undefined where nothing tells. */
      readonly likelyMilliseconds: number | undefined;
    };

function none(cause: RefusalCause, likelyMilliseconds?: number): Start {
  return { kind: StartKind.None, cause, likelyMilliseconds };
}

interface Settled {
  readonly attempt: RunningAttempt;
  readonly outcome: Outcome;
}

/** Serves one plain request to its end. */
export async function servePlain(
  context: ForwardContext,
  accepted: AcceptedRequest,
): Promise<void> {
  const { route, service, answer } = accepted;
  const progress = startProgress();
  const running = new Set<RunningAttempt>();
  let failedAnswer: Answered | undefined;
  let isExpired = false;
  let wake: (() => void) | undefined;
  const mayRepeat = route.kind === RequestKind.Idempotent;

  function cancelAll(reason: string): void {
    for (const attempt of running) attempt.cancel(reason);
  }

  answer.onGone(() => {
    cancelAll('caller gone');
    wake?.();
  });
  const expiry = setTimeout(
    () => {
      isExpired = true;
      wake?.();
    },
    remainingOf(context, accepted),
  );

  /** Milliseconds to wait for room at a server; 0 where it comes too late for the caller. */
  function waitFor(roomInMilliseconds: number, reason: string): number {
    const wait = planRoomWait({
      route,
      isRetry: accepted.isRetry,
      idleMilliseconds: context.now() - accepted.arrivedAt,
      remainingMilliseconds: remainingOf(context, accepted),
      roomInMilliseconds,
    });
    context.logger.decision({
      kind: 'wait',
      subject: accepted.requestId,
      choice: wait === 0 ? 'give up' : 'keep',
      reason,
      facts: { longest: Math.round(wait), roomInMilliseconds, isRetry: accepted.isRetry },
    });
    return wait;
  }

  /** What becomes of the request where no server can be sent to now. */
  function startLater(choice: ServerChoice): Start {
    switch (choice.kind) {
      case ServerChoiceKind.AllLimited: {
        const wait = waitFor(choice.roomInMilliseconds, 'every server has had its share');
        if (wait > 0) return { kind: StartKind.Delayed, waitMilliseconds: wait };
        return none(RefusalCause.Full);
      }
      case ServerChoiceKind.AllBackingOff: {
        const { backoffMilliseconds } = choice;
        const wait = waitFor(backoffMilliseconds, 'every server backs off');
        if (wait > 0) return { kind: StartKind.Delayed, waitMilliseconds: wait };
        return none(RefusalCause.BackingOff, backoffMilliseconds);
      }
      case ServerChoiceKind.Chosen:
      case ServerChoiceKind.NoneLeft:
      case ServerChoiceKind.AllCrowded:
      case ServerChoiceKind.AllBroken:
        return none(progress.sends > 0 ? RefusalCause.Full : RefusalCause.NoServer);
      default: {
        const unreachable: never = choice;
        throw new Error(String(unreachable));
      }
    }
  }

  /** Starts one more attempt, or says why none can be started. */
  function startNext(): Start {
    if (progress.sends >= MAXIMUM_SENDS) return none(RefusalCause.Full);
    if (remainingOf(context, accepted) < SHORTEST_ATTEMPT_MILLISECONDS) {
      return none(RefusalCause.Expired);
    }
    const { choice, server } = chooseServer(context, accepted, progress);
    if (server === undefined) {
      return startLater(choice);
    }
    if (progress.sends > 0 && !context.retryShare.spend(service)) {
      return none(RefusalCause.BudgetSpent);
    }
    progress.sends += 1;
    progress.runs += 1;
    progress.tried.add(server.instanceId);
    running.add(startPlainAttempt(context, accepted, server));
    return { kind: StartKind.Started };
  }

  async function nextSettled(lateAfter: number): Promise<Settled | 'late' | 'stopped'> {
    const settled = [...running].map(async (attempt) => ({
      attempt,
      outcome: await attempt.outcome,
    }));
    const stopped = new Promise<'stopped'>((resolve) => {
      wake = () => resolve('stopped');
    });
    if (!Number.isFinite(lateAfter)) return Promise.race([...settled, stopped]);
    let timer: NodeJS.Timeout | undefined;
    const late = new Promise<'late'>((resolve) => {
      timer = setTimeout(() => resolve('late'), lateAfter);
    });
    const first = await Promise.race([...settled, stopped, late]);
    clearTimeout(timer);
    return first;
  }

  function pass(outcome: Answered, attempt: RunningAttempt): void {
    const waited = context.now() - accepted.arrivedAt;
    noteOutcome(context, accepted, {
      kind: EndKind.Answer,
      choice: attempt.server.instanceId,
      reason: 'passed on',
      facts: {
        status: outcome.head.status,
        isOnTime: waited <= route.latencyObjectiveMilliseconds,
        sends: progress.sends,
      },
    });
    answer.send(outcome.head.status, outcome.head.headers, outcome.body);
  }

  function conclude(
    cause: RefusalCause,
    lastAttempt: RunningAttempt | undefined,
    likelyMilliseconds?: number,
  ): void {
    if (failedAnswer !== undefined && lastAttempt !== undefined) {
      pass(failedAnswer, lastAttempt);
      return;
    }
    const reason = progress.outcomes.map(describeOutcome).join('; ') || cause;
    const proof = proveNotRun(progress.outcomes, reason);
    if (proof === undefined) fail(context, accepted, reason, isExpired);
    else refuse(context, accepted, cause, proof, likelyMilliseconds);
  }

  let hedged = false;
  let lastAttempt: RunningAttempt | undefined;
  try {
    for (;;) {
      if (answer.isOver) return;
      if (running.size === 0) {
        const start = startNext();
        if (start.kind === StartKind.None) {
          conclude(start.cause, lastAttempt, start.likelyMilliseconds);
          return;
        }
        if (start.kind === StartKind.Delayed) {
          await nextSettled(start.waitMilliseconds);
          continue;
        }
      }
      const canHedge = mayRepeat && !hedged && progress.runs < route.maximumAttempts;
      const lateAfter = canHedge ? lateMilliseconds(route) : Infinity;
      const settled = await nextSettled(lateAfter);
      if (answer.isOver) return;
      if (settled === 'stopped') {
        const unsettled: Outcome = { kind: OutcomeKind.Unknown, reason: 'no answer in time' };
        if (isExpired) {
          progress.outcomes.push(unsettled);
          conclude(RefusalCause.Expired, undefined);
          return;
        }
        continue;
      }
      if (settled === 'late') {
        hedged = true;
        startNext();
        continue;
      }
      const { attempt, outcome } = settled;
      running.delete(attempt);
      lastAttempt = attempt;
      progress.outcomes.push(outcome);
      if (outcome.kind === OutcomeKind.Answered) {
        if (!isFailure(outcome) || !mayRepeat || progress.runs >= route.maximumAttempts) {
          if (running.size > 0 && isFailure(outcome)) {
            failedAnswer = outcome;
            continue;
          }
          pass(outcome, attempt);
          return;
        }
        failedAnswer = outcome;
      } else {
        logMiss(context, accepted, attempt, outcome);
        if (outcome.kind === OutcomeKind.NotRun) {
          progress.runs -= 1;
        } else if (!mayRepeat || progress.runs >= route.maximumAttempts) {
          if (running.size > 0) continue;
          conclude(RefusalCause.Full, failedAnswer === undefined ? undefined : attempt);
          return;
        }
      }
    }
  } finally {
    clearTimeout(expiry);
    cancelAll('answered otherwise');
  }
}

function logMiss(
  context: ForwardContext,
  accepted: AcceptedRequest,
  attempt: RunningAttempt,
  outcome: Exclude<Outcome, Answered>,
): void {
  context.logger.decision({
    kind: 'attempt',
    subject: accepted.requestId,
    choice: attempt.server.instanceId,
    reason: outcome.reason,
    facts: {
      outcome: outcome.kind,
      silence: roundedOrNone(context.liveness.silenceMilliseconds(attempt.server.instanceId)),
    },
  });
}
