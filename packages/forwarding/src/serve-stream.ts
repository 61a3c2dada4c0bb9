/**
 * Serves a stream of events. When its backend server fails midway, a resumable stream continues at
 * another server after the last event that the caller received. Any other stream is visibly
 * aborted, so that the caller never takes a partial stream for a complete one.
 */
import type { BackendServer } from '@lapisbridge/catalog';
import type { ServerView } from '@lapisbridge/routing';

import { ContentionKind, findContention } from './admit-stream.js';
import { chooseServer } from './choose-server.js';
import { createProgress, describeAttempt, findQuarantinedCause } from './forward-context.js';
import type { AcceptedRequest, ForwardContext } from './forward-context.js';
import { startHedgedStreamAttempt } from './hedged-stream-attempt.js';
import { logRequestEnd, RequestEndKind } from './request-end.js';
import { computeSendWindow, watchExpiry } from './request-expiry.js';
import { describeEnd } from './describe-end.js';
import { proveNotRun } from './outcome.js';
import { failRequest, refuseRequest } from './local-reply.js';
import { canAdmitStream } from './plan-queue-admission.js';
import { planRefusalCause, RefusalCause } from './plan-retry-after.js';
import { planEventTimeout } from './plan-wait.js';
import { roundedOrNone } from './rounded-or-none.js';
import { DelayKind, REFUSAL_CAUSE_BY_DELAY, toStreamDelay, waitForServer } from './stream-delay.js';
import type { StreamDelay } from './stream-delay.js';
import { createRetryAccount } from './retry-account.js';
import { RetryCause, retryCauseAfter } from './retry-budget-share.js';
import { recordOutput } from './record-output.js';
import { mayEndServers, settleLosses } from './settle-losses.js';
import { StreamEndKind } from './stream-attempt.js';
import type { StreamAttempt, StreamEnd } from './stream-attempt.js';
import { toStreamOutcome } from './stream-outcome.js';
import { createStreamRecord } from './stream-record.js';
import { watchForStall } from './stall-watch.js';

/** Maximum sends of one stream before its service counts as full. */
const MAXIMUM_SENDS = 3;

/** Interval between checks of a stream whose next event is overdue. */
const OVERDUE_CHECK_INTERVAL_MILLISECONDS = 20;

enum StartKind {
  Started = 'started',
  Delayed = 'delayed',
  None = 'none',
}

type StartResult =
  | { readonly kind: StartKind.Started; readonly attempt: StreamAttempt }
  | { readonly kind: StartKind.Delayed; readonly delay: StreamDelay }
  | { readonly kind: StartKind.None; readonly cause: RefusalCause };

interface StreamState {
  /**
   * Sends refused because the server's lock-step group was down; they say nothing about the
   * service's load.
   */
  groupRefusals: number;
  /** Cause of the timeout; undefined while the stream has not timed out. */
  timeout: RefusalCause | undefined;
  /** Whether the stream was moved from a server that stopped responding. */
  isMoved: boolean;
  currentAttempt: StreamAttempt | undefined;
  /** Server of the current or the latest attempt. */
  server: BackendServer | undefined;
}

/** Serves one stream until it is complete or has failed, or its caller has disconnected. */
export async function serveStream(
  context: ForwardContext,
  accepted: AcceptedRequest,
): Promise<void> {
  const { response, route, service } = accepted;
  const progress = createProgress();
  const retries = createRetryAccount(context.retryShare, service);
  const record = createStreamRecord(context, accepted);
  const state: StreamState = {
    groupRefusals: 0,
    timeout: undefined,
    isMoved: false,
    currentAttempt: undefined,
    server: undefined,
  };

  function causeWithoutServer(): RefusalCause {
    return progress.sends > 0 ? RefusalCause.Full : RefusalCause.NoServer;
  }

  /** Whether the server can begin the stream in time for its caller. */
  function canStartInTime({
    slots,
    expectedOutstanding: expected,
    reportAgeMilliseconds: reportAge,
    typicalResponseMilliseconds: typicalMilliseconds,
  }: ServerView): boolean {
    return canAdmitStream({
      route,
      slots,
      expectedStreams: expected,
      typicalMilliseconds,
      reportAge,
      hasBegun: response.hasBegun,
      isMoved: state.isMoved,
      isRetry: accepted.isRetry,
      idleMilliseconds: record.idleMilliseconds(),
    });
  }

  /** Whether the service may still turn the stream away; one that was sent keeps its place. */
  function mustBeAdmitted(): boolean {
    return progress.sends === 0 && !response.hasBegun;
  }

  /** Whether no attempt may have run. */
  function canRefuse(): boolean {
    return progress.runs === 0 && !response.hasBegun;
  }

  function retryCause(): RetryCause {
    return response.hasBegun ? RetryCause.Resumed : retryCauseAfter(progress.outcomes);
  }

  /** Starts one more attempt, or returns why none can be started. */
  function startNextAttempt(): StartResult {
    if (state.timeout !== undefined) return { kind: StartKind.None, cause: state.timeout };
    if (findQuarantinedCause(context, accepted) !== undefined) {
      return { kind: StartKind.None, cause: RefusalCause.Quarantined };
    }
    if (progress.sends - state.groupRefusals >= MAXIMUM_SENDS) {
      return { kind: StartKind.None, cause: RefusalCause.Full };
    }
    if (canRefuse() && computeSendWindow(context, accepted) === 0) {
      return { kind: StartKind.None, cause: RefusalCause.ShuttingDown };
    }
    const contention = mustBeAdmitted() ? findContention(context, accepted) : undefined;
    if (contention !== undefined) {
      context.contentionCounts.record(contention.kind);
      return { kind: StartKind.Delayed, delay: { kind: DelayKind.Contended, contention } };
    }
    const { choice, server } = chooseServer(context, accepted, progress, canStartInTime);
    const delay = toStreamDelay(context, choice);
    if (delay !== undefined) return { kind: StartKind.Delayed, delay };
    if (server === undefined) return { kind: StartKind.None, cause: causeWithoutServer() };
    if (!retries.tryBegin(retryCause())) {
      return { kind: StartKind.None, cause: RefusalCause.BudgetSpent };
    }
    const content = describeAttempt(context, accepted, progress);
    progress.sends += 1;
    progress.runs += 1;
    progress.tried.add(server.instanceId);
    record.recordSend();
    const attempt = startHedgedStreamAttempt({
      context,
      accepted,
      progress,
      retries,
      maximumSends: MAXIMUM_SENDS,
      server,
      content,
      sink: record.sink,
      isMoved: state.isMoved,
      canServeInTime: canStartInTime,
    });
    progress.settlements.push(attempt.settled);
    state.currentAttempt = attempt;
    state.server = server;
    return { kind: StartKind.Started, attempt };
  }

  function canResume(): boolean {
    return route.resumable && progress.runs < route.maximumAttempts;
  }

  function logFailedAttempt(server: BackendServer, end: StreamEnd): void {
    context.logger.decision({
      kind: 'attempt',
      subject: accepted.requestId,
      choice: server.instanceId,
      reason: 'reason' in end ? end.reason : 'complete response',
      facts: {
        ...record.facts(),
        silence: roundedOrNone(context.liveness.silenceMilliseconds(server.instanceId)),
        sends: progress.sends,
        content: end.kind === StreamEndKind.Incomplete ? accepted.digest.full() : undefined,
        outcome: end.kind,
        milliseconds: Math.round(context.now() - accepted.arrivedAt),
      },
    });
  }

  function logResponse(server: BackendServer, status: number): void {
    logRequestEnd(context, accepted, {
      kind: RequestEndKind.Response,
      choice: server.instanceId,
      reason: 'complete response',
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
    return engine !== undefined && engine.sets > 0 && context.pulse.hasServiceStalled(service);
  }

  /** Milliseconds until the stream is expected to be served; undefined when unknown. */
  function estimateWaitMilliseconds(
    cause: RefusalCause,
    delay: StreamDelay | undefined,
  ): number | undefined {
    if (cause === RefusalCause.GroupBroken) {
      const isBroken = delay?.kind === DelayKind.GroupBroken;
      return context.groupHealth.likelyReturnMilliseconds(
        isBroken ? delay.brokenForMilliseconds : 0,
      );
    }
    if (delay?.kind === DelayKind.Contended) {
      const { contention } = delay;
      const isRefused = contention.kind === ContentionKind.ClassGivesWay;
      return isRefused ? contention.returnMilliseconds : undefined;
    }
    return delay?.kind === DelayKind.BackingOff ? delay.roomInMilliseconds : undefined;
  }

  /** Ends the stream with a refusal or a failure. `delay` is what prevented the last send. */
  async function conclude(cause: RefusalCause, delay?: StreamDelay): Promise<void> {
    if (progress.runs > 0) await settleLosses(context, progress);
    if (response.isEnded) return;
    const reason = describeEnd(context, accepted, progress, cause);
    const proof = response.hasBegun ? undefined : proveNotRun(progress.outcomes, reason);
    if (proof === undefined) {
      failRequest(context, accepted, reason, state.timeout !== undefined);
      return;
    }
    const reportedCause = planRefusalCause(cause, hasGroupStopped());
    refuseRequest(
      context,
      accepted,
      reportedCause,
      proof,
      estimateWaitMilliseconds(reportedCause, delay),
    );
  }

  function timeOut(cause: RefusalCause, reason: string): void {
    state.timeout = cause;
    state.currentAttempt?.cancel(reason);
  }

  /** A stream that has begun may continue at a responsive server until the request expires. */
  function canTimeOut(): boolean {
    if (!response.hasBegun || state.isMoved) return true;
    const server = state.currentAttempt?.server ?? state.server;
    return server !== undefined && context.liveness.isSilent(server);
  }

  function watchEventGaps(): void {
    const remainingMilliseconds = planEventTimeout(route) - record.idleMilliseconds();
    if (remainingMilliseconds <= 0 && canTimeOut())
      timeOut(RefusalCause.Crowded, 'no event within the time that the caller waits');
    else
      eventTimeout = setTimeout(
        watchEventGaps,
        Math.max(remainingMilliseconds, OVERDUE_CHECK_INTERVAL_MILLISECONDS),
      );
  }

  response.onDisconnect(() => {
    const { cutReason } = response;
    state.currentAttempt?.cancel(
      cutReason === undefined ? 'caller disconnected' : `response cut: ${cutReason}`,
    );
  });
  const endExpiryWatch = watchExpiry(context, accepted, timeOut);
  let eventTimeout: NodeJS.Timeout | undefined;
  watchEventGaps();
  try {
    for (;;) {
      if (response.isEnded) return;
      if (mayEndServers(context, accepted, progress)) await settleLosses(context, progress);
      const start = startNextAttempt();
      if (start.kind === StartKind.Delayed) {
        const { delay } = start;
        const waitSituation = {
          idleMilliseconds: record.idleMilliseconds(),
          isMoved: state.isMoved,
          canRefuse: canRefuse(),
        };
        const mustGiveUp = !(await waitForServer(context, accepted, delay, waitSituation));
        if (mustGiveUp || state.timeout !== undefined) {
          await conclude(REFUSAL_CAUSE_BY_DELAY[delay.kind], delay);
          return;
        }
        // Ranks that refused because of their group may accept requests again.
        if (delay.kind === DelayKind.GroupBroken) progress.tried.clear();
        continue;
      }
      if (start.kind === StartKind.None) {
        await conclude(start.cause);
        return;
      }
      const { attempt } = start;
      const { idleMilliseconds } = record;
      const end = await watchForStall({
        context,
        accepted,
        attempt,
        idleMilliseconds,
        mayContinue: canResume,
      });
      const { server } = attempt;
      state.currentAttempt = undefined;
      state.server = server;
      if (end.kind !== StreamEndKind.Complete) logFailedAttempt(server, end);
      state.isMoved ||= context.liveness.isSilent(server);
      if (response.isEnded) return;
      progress.outcomes.push(toStreamOutcome(end));
      switch (end.kind) {
        case StreamEndKind.Complete:
          logResponse(server, response.status);
          recordOutput(context, accepted, record.eventCount());
          response.finish();
          return;
        case StreamEndKind.Answered:
          if (response.hasBegun) {
            await conclude(RefusalCause.Full);
            return;
          }
          logResponse(server, end.head.status);
          response.send(end.head.status, end.head.headers, end.body);
          return;
        case StreamEndKind.NotRun:
          progress.runs -= 1;
          if (!end.wasSent) retries.onNotSent();
          if (end.isGroupBroken) {
            state.groupRefusals += 1;
            context.groupHealth.recordRefusal(server);
          }
          break;
        case StreamEndKind.Incomplete:
          if (state.timeout !== undefined || !canResume()) {
            await conclude(state.timeout ?? RefusalCause.Expired);
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
    endExpiryWatch();
    clearTimeout(eventTimeout);
  }
}
