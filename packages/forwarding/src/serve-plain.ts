/**
 * Serves a request that has a single complete response. An idempotent request is retried on
 * another backend server after a failure, and hedged to a second one when the response is late.
 * Other requests are sent again only with proof that they did not run.
 */
import { RequestKind } from '@lapisbridge/catalog';
import type { BackendServer } from '@lapisbridge/catalog';
import { ServerChoiceKind } from '@lapisbridge/routing';
import type { ServerChoice } from '@lapisbridge/routing';

import { chooseServer } from './choose-server.js';
import { createProgress, describeAttempt, findQuarantinedCause } from './forward-context.js';
import type { AcceptedRequest, ForwardContext } from './forward-context.js';
import { lateThresholdMilliseconds } from './late-answer.js';
import { logRequestEnd, RequestEndKind } from './request-end.js';
import { computeRemainingMilliseconds, computeSendWindow, watchExpiry } from './request-expiry.js';
import { describeEnd } from './describe-end.js';
import { OutcomeKind, proveNotRun } from './outcome.js';
import type { Answered, Outcome } from './outcome.js';
import { failRequest, refuseRequest } from './local-reply.js';
import { startPlainAttempt } from './plain-attempt.js';
import type { PlainAttempt } from './plain-attempt.js';
import { RefusalCause } from './plan-retry-after.js';
import { planRoomWait } from './plan-wait.js';
import { createRetryAccount } from './retry-account.js';
import { RetryCause, retryCauseAfter } from './retry-budget-share.js';
import type { AttemptContent } from './server-end-detector.js';
import { mayEndServers, settleLosses } from './settle-losses.js';
import { roundedOrNone } from './rounded-or-none.js';
import { recordHedgeWinner, takeHedge } from './take-hedge.js';

/** Maximum sends of one request, including refused ones; beyond it the service counts as full. */
const MAXIMUM_SENDS = 4;
/** With less time left, a further attempt could not be answered. */
const MINIMUM_ATTEMPT_MILLISECONDS = 10;

function isServerError({ head }: Answered): boolean {
  return head.status >= 500;
}

enum StartKind {
  Started = 'started',
  /** No server accepts a request of this entry at the moment. */
  Delayed = 'delayed',
  None = 'none',
}

type StartResult =
  | { readonly kind: StartKind.Started }
  | { readonly kind: StartKind.Delayed; readonly waitMilliseconds: number }
  | {
      readonly kind: StartKind.None;
      readonly cause: RefusalCause;
      /** Milliseconds until a server is expected to serve the request; undefined when unknown. */
      readonly expectedWaitMilliseconds: number | undefined;
    };

function cannotStart(cause: RefusalCause, expectedWaitMilliseconds?: number): StartResult {
  return { kind: StartKind.None, cause, expectedWaitMilliseconds };
}

interface SettledAttempt {
  readonly attempt: PlainAttempt;
  readonly outcome: Outcome;
}

/** Serves one plain request until its response has been sent or its caller has disconnected. */
export async function servePlain(
  context: ForwardContext,
  accepted: AcceptedRequest,
): Promise<void> {
  const { route, service, response } = accepted;
  const progress = createProgress();
  const retries = createRetryAccount(context.retryShare, service);
  const running = new Set<PlainAttempt>();
  let errorResponse: Answered | undefined;
  /** Why the request has no time left; undefined while it has. */
  let expiryCause: RefusalCause | undefined;
  let interruptWait: (() => void) | undefined;
  const isIdempotent = route.kind === RequestKind.Idempotent;
  let isHedged = false;
  /** The attempt that was sent because another one is late. */
  let duplicate: PlainAttempt | undefined;
  /** When the attempt was sent that is running, or the first of two. */
  let firstSentAt = accepted.arrivedAt;

  function cancelAll(reason: string): void {
    for (const attempt of running) attempt.cancel(reason);
  }

  response.onDisconnect(() => {
    cancelAll('caller disconnected');
    interruptWait?.();
  });
  const endExpiryWatch = watchExpiry(context, accepted, (cause) => {
    expiryCause = cause;
    interruptWait?.();
  });
  const endShutdownWatch = context.shutdown.onBegin(() => {
    if (running.size === 0) interruptWait?.();
  });

  /** Milliseconds to wait for a server to accept the request; 0 when too late for the caller. */
  function decideWait(roomInMilliseconds: number, reason: string): number {
    const wait = planRoomWait({
      route,
      isRetry: accepted.isRetry,
      idleMilliseconds: context.now() - accepted.arrivedAt,
      remainingMilliseconds: computeRemainingMilliseconds(context, accepted),
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

  /** Decides between waiting and refusing when no server accepts a request at the moment. */
  function delayOrRefuse(choice: ServerChoice): StartResult {
    switch (choice.kind) {
      case ServerChoiceKind.AllLimited: {
        const wait = decideWait(
          choice.limitedForMilliseconds,
          'limit share used up at every server',
        );
        if (wait > 0) return { kind: StartKind.Delayed, waitMilliseconds: wait };
        return cannotStart(RefusalCause.Full);
      }
      case ServerChoiceKind.AllBackingOff: {
        const { backoffMilliseconds } = choice;
        const wait = decideWait(backoffMilliseconds, 'backoff requested by every server');
        if (wait > 0) return { kind: StartKind.Delayed, waitMilliseconds: wait };
        return cannotStart(RefusalCause.BackingOff, backoffMilliseconds);
      }
      case ServerChoiceKind.Chosen:
      case ServerChoiceKind.NoneLeft:
      case ServerChoiceKind.AllCrowded:
      case ServerChoiceKind.AllBroken:
        return cannotStart(progress.sends > 0 ? RefusalCause.Full : RefusalCause.NoServer);
      default: {
        const unreachable: never = choice;
        throw new Error(String(unreachable));
      }
    }
  }

  function retryCause(): RetryCause {
    return running.size > 0 ? RetryCause.Hedged : retryCauseAfter(progress.outcomes);
  }

  /** Whether no attempt may have run. */
  function canRefuse(): boolean {
    return progress.runs === 0;
  }

  /** Starts one more attempt, or returns why none can be started. */
  function startNextAttempt(): StartResult {
    if (findQuarantinedCause(context, accepted) !== undefined) {
      return cannotStart(RefusalCause.Quarantined);
    }
    if (progress.sends >= MAXIMUM_SENDS) return cannotStart(RefusalCause.Full);
    if (canRefuse() && computeSendWindow(context, accepted) === 0) {
      return cannotStart(expiryCause ?? RefusalCause.ShuttingDown);
    }
    if (computeRemainingMilliseconds(context, accepted) < MINIMUM_ATTEMPT_MILLISECONDS) {
      return cannotStart(RefusalCause.Expired);
    }
    const { choice, server } = chooseServer(context, accepted, progress);
    if (server === undefined) {
      return delayOrRefuse(choice);
    }
    if (!retries.tryBegin(retryCause())) {
      return cannotStart(RefusalCause.BudgetSpent);
    }
    const content = describeAttempt(context, accepted, progress);
    progress.sends += 1;
    progress.runs += 1;
    progress.tried.add(server.instanceId);
    startAttempt(server, content);
    return { kind: StartKind.Started };
  }

  function startAttempt(server: BackendServer, content: AttemptContent): PlainAttempt {
    const attempt = startPlainAttempt(context, accepted, server, content);
    progress.settlements.push(attempt.settled);
    running.add(attempt);
    return attempt;
  }

  function isHedgingLimited(): boolean {
    return isIdempotent && context.hedges?.isEnabled() === true;
  }

  /** Milliseconds after which the running attempt is hedged; infinite when it may not be. */
  function planLateAfter(): number {
    if (!isIdempotent || isHedged) return Infinity;
    if (isHedgingLimited()) {
      return context.hedges?.lateAfterMilliseconds(route.name) ?? lateThresholdMilliseconds(route);
    }
    const canHedge = progress.runs < route.maximumAttempts && !mayHaveEndedThird();
    return canHedge ? lateThresholdMilliseconds(route) : Infinity;
  }

  /** Sends the late request to a second server, where the budgets permit it. */
  function hedge(): void {
    isHedged = true;
    if (!isHedgingLimited()) {
      startNextAttempt();
      return;
    }
    if (computeRemainingMilliseconds(context, accepted) < MINIMUM_ATTEMPT_MILLISECONDS) return;
    const taken = takeHedge({
      context,
      accepted,
      progress,
      retries,
      maximumSends: MAXIMUM_SENDS,
      isRepeatable: isIdempotent,
      elapsedMilliseconds: context.now() - firstSentAt,
    });
    if (taken !== undefined) duplicate = startAttempt(taken.server, taken.content);
  }

  function recordResponse({ head }: Answered, attempt: PlainAttempt): void {
    if (!isHedgingLimited() || head.status >= 500) return;
    const elapsedMilliseconds = context.now() - firstSentAt;
    context.hedges?.recordResponse(route.name, elapsedMilliseconds);
    if (duplicate === undefined) return;
    const isHedge = attempt === duplicate;
    const [late] = running;
    const overtaken = isHedge ? late?.server : undefined;
    const winner = { server: attempt.server, isHedge, overtaken };
    recordHedgeWinner(context, accepted, winner, elapsedMilliseconds);
  }

  /** Of two attempts, one that was never sent leaves no duplicate. */
  function onNotSent(): void {
    retries.onNotSent();
    if (duplicate === undefined) return;
    duplicate = undefined;
    context.hedges?.refund(service);
  }

  /** After two ends under the request, a late answer may be due to a third. */
  function mayHaveEndedThird(): boolean {
    return context.crashLedger.generationOf(accepted.digest) > 1;
  }

  async function waitForSettled(
    lateAfterMilliseconds: number,
  ): Promise<SettledAttempt | 'late' | 'stopped'> {
    const settled = [...running].map(async (attempt) => ({
      attempt,
      outcome: await attempt.outcome,
    }));
    const stopped = new Promise<'stopped'>((resolve) => {
      interruptWait = () => resolve('stopped');
    });
    if (!Number.isFinite(lateAfterMilliseconds)) return Promise.race([...settled, stopped]);
    let timer: NodeJS.Timeout | undefined;
    const late = new Promise<'late'>((resolve) => {
      timer = setTimeout(() => resolve('late'), lateAfterMilliseconds);
    });
    const first = await Promise.race([...settled, stopped, late]);
    clearTimeout(timer);
    return first;
  }

  function sendToCaller(outcome: Answered, attempt: PlainAttempt): void {
    const elapsedMilliseconds = context.now() - accepted.arrivedAt;
    logRequestEnd(context, accepted, {
      kind: RequestEndKind.Response,
      choice: attempt.server.instanceId,
      reason: 'response forwarded',
      facts: {
        status: outcome.head.status,
        isOnTime: elapsedMilliseconds <= route.latencyObjectiveMilliseconds,
        sends: progress.sends,
      },
    });
    response.send(outcome.head.status, outcome.head.headers, outcome.body);
  }

  async function conclude(
    cause: RefusalCause,
    lastAttempt: PlainAttempt | undefined,
    expectedWaitMilliseconds?: number,
  ): Promise<void> {
    if (errorResponse !== undefined && lastAttempt !== undefined) {
      sendToCaller(errorResponse, lastAttempt);
      return;
    }
    if (progress.runs > 0) await settleLosses(context, progress);
    if (response.isEnded) return;
    const reason = describeEnd(context, accepted, progress, cause);
    const proof = proveNotRun(progress.outcomes, reason);
    if (proof === undefined) failRequest(context, accepted, reason, expiryCause !== undefined);
    else refuseRequest(context, accepted, cause, proof, expectedWaitMilliseconds);
  }

  let lastAttempt: PlainAttempt | undefined;
  try {
    for (;;) {
      if (response.isEnded) return;
      if (running.size === 0) {
        if (mayEndServers(context, accepted, progress)) await settleLosses(context, progress);
        firstSentAt = context.now();
        const start = startNextAttempt();
        if (start.kind === StartKind.None) {
          await conclude(start.cause, lastAttempt, start.expectedWaitMilliseconds);
          return;
        }
        if (start.kind === StartKind.Delayed) {
          const sendWindow = canRefuse() ? computeSendWindow(context, accepted) : Infinity;
          await waitForSettled(Math.min(start.waitMilliseconds, sendWindow));
          continue;
        }
      }
      const settled = await waitForSettled(planLateAfter());
      if (response.isEnded) return;
      if (settled === 'stopped') {
        const unsettled: Outcome = { kind: OutcomeKind.Unknown, reason: 'no response in time' };
        if (expiryCause !== undefined) {
          progress.outcomes.push(unsettled);
          cancelAll('request expired');
          await conclude(expiryCause, undefined);
          return;
        }
        continue;
      }
      if (settled === 'late') {
        hedge();
        continue;
      }
      const { attempt, outcome } = settled;
      running.delete(attempt);
      lastAttempt = attempt;
      progress.outcomes.push(outcome);
      if (outcome.kind === OutcomeKind.Answered) {
        if (!isServerError(outcome) || !isIdempotent || progress.runs >= route.maximumAttempts) {
          if (running.size > 0 && isServerError(outcome)) {
            errorResponse = outcome;
            continue;
          }
          recordResponse(outcome, attempt);
          sendToCaller(outcome, attempt);
          return;
        }
        errorResponse = outcome;
      } else {
        logFailedAttempt(context, accepted, attempt, outcome);
        if (outcome.kind === OutcomeKind.NotRun) {
          progress.runs -= 1;
          if (!outcome.wasSent) onNotSent();
        } else if (!isIdempotent || progress.runs >= route.maximumAttempts) {
          if (running.size > 0) continue;
          await conclude(RefusalCause.Full, errorResponse === undefined ? undefined : attempt);
          return;
        }
      }
    }
  } finally {
    endExpiryWatch();
    endShutdownWatch();
    cancelAll('request ended');
  }
}

function logFailedAttempt(
  context: ForwardContext,
  accepted: AcceptedRequest,
  attempt: PlainAttempt,
  outcome: Exclude<Outcome, Answered>,
): void {
  context.logger.decision({
    kind: 'attempt',
    subject: accepted.requestId,
    choice: attempt.server.instanceId,
    reason: outcome.reason,
    facts: {
      outcome: outcome.kind,
      content: outcome.kind === OutcomeKind.Unknown ? accepted.digest.full() : undefined,
      silence: roundedOrNone(context.liveness.silenceMilliseconds(attempt.server.instanceId)),
    },
  });
}
