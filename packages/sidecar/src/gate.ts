/**
 * The gate in front of one backend server: a limit that follows the evidence, a short fair
 * queue, and refusals at once. Whoever was refused here was never dispatched.
 */
import {
  AdmissionKind,
  createFairQueue,
  createSlotShares,
  BackendObservationKind,
  initialLimit,
  planAdmission,
  planLimit,
  RefusalReason,
} from '@lapisbridge/admission';
import type { BackendObservation, LimitPolicy, LimitState } from '@lapisbridge/admission';
import { ResultCode } from '@lapisbridge/errors';
import type { Logger } from '@lapisbridge/logger';

export interface GatePolicy extends LimitPolicy {
  readonly maximumQueuedRequests: number;
  readonly queueMilliseconds: number;
  readonly retryAfterMilliseconds: number;
}

export interface GateRequest {
  readonly requestId: string;
  readonly account: string;
  readonly weight: number;
  readonly tokens: number;
  readonly remainingMilliseconds: number;
}

export interface Refusal {
  readonly code: ResultCode;
  readonly reason: string;
  readonly retryAfterMilliseconds: number;
}

export enum EntranceKind {
  Admitted = 'admitted',
  Refused = 'refused',
}

export type Entrance =
  | { readonly kind: EntranceKind.Admitted; release(): void }
  | { readonly kind: EntranceKind.Refused; readonly refusal: Refusal };

export interface GateLoad {
  readonly running: number;
  readonly queued: number;
  readonly limit: number;
  readonly inFlightTokens: number;
  /** 0 when no step was seen lately. */
  readonly stepMilliseconds: number;
  readonly warm: boolean;
}

export interface Gate {
  enter(request: GateRequest, signal: AbortSignal): Promise<Entrance>;
  observe(evidence: BackendObservation): void;
  /** Starts nothing and refuses what comes for so long: the backend server has asked for it. */
  suspend(milliseconds: number): void;
  /** Milliseconds until the suspension is over; 0 where there is none. */
  suspendedMilliseconds(): number;
  load(): GateLoad;
}

interface Waiting {
  readonly account: string;
  readonly weight: number;
  readonly tokens: number;
  start(): void;
}

export interface GateOptions {
  readonly logger: Logger;
  readonly name: string;
  /** Undefined until a configuration names this backend server. */
  policy(): GatePolicy | undefined;
  isDraining(): boolean;
  isBackendReachable(): boolean;
}

const REFUSAL_CODES: Readonly<Record<RefusalReason, ResultCode>> = {
  [RefusalReason.QueueFull]: ResultCode.Overloaded,
  [RefusalReason.DeadlineTooShort]: ResultCode.DeadlineTooShort,
};
const NOT_READY_RETRY_MILLISECONDS = 1000;
const FRESH_MILLISECONDS = 2000;
const UNKNOWN_POLICY: LimitPolicy = {
  coldConcurrency: 1,
  maximumConcurrency: 1,
  expectedStepMilliseconds: 50,
};

function refused(code: ResultCode, reason: string, retryAfterMilliseconds: number): Entrance {
  return { kind: EntranceKind.Refused, refusal: { code, reason, retryAfterMilliseconds } };
}

export function createGate(options: GateOptions): Gate {
  const queue = createFairQueue<Waiting>();
  const shares = createSlotShares();
  let running = 0;
  let runningTokens = 0;
  let limit: LimitState | undefined;
  let lastStepAt = -Infinity;
  let suspendedUntil = -Infinity;

  /** Kept within the bounds of the policy in force; not kept at all until there is one. */
  function limitState(): LimitState {
    const policy = options.policy();
    if (policy === undefined) return initialLimit(UNKNOWN_POLICY);
    limit ??= initialLimit(policy);
    const { coldConcurrency, maximumConcurrency } = policy;
    const bounded = Math.min(maximumConcurrency, Math.max(coldConcurrency, limit.limit));
    if (bounded !== limit.limit) limit = { ...limit, limit: bounded };
    return limit;
  }

  function isStepFresh(): boolean {
    return performance.now() - lastStepAt < FRESH_MILLISECONDS;
  }

  function suspendedMilliseconds(): number {
    return Math.max(0, suspendedUntil - performance.now());
  }

  function mayStart(account: string): boolean {
    if (suspendedMilliseconds() > 0) return false;
    return shares.mayStart(account, running, limitState().limit, performance.now());
  }

  function startWaiting(): void {
    for (;;) {
      const next = queue.shift(mayStart);
      if (next === undefined) return;
      next.start();
    }
  }

  /** Timers may fire a moment early by the clock that the suspension is reckoned by. */
  function startAfterSuspension(): void {
    const left = suspendedMilliseconds();
    if (left > 0) setTimeout(startAfterSuspension, Math.ceil(left)).unref();
    else startWaiting();
  }

  function admit({ account, tokens }: Pick<GateRequest, 'account' | 'tokens'>): Entrance {
    shares.requestStarted(account, performance.now());
    running += 1;
    runningTokens += tokens;
    let released = false;
    return {
      kind: EntranceKind.Admitted,
      release() {
        if (released) return;
        released = true;
        shares.requestEnded(account);
        running -= 1;
        runningTokens -= tokens;
        startWaiting();
      },
    };
  }

  function wait(
    request: GateRequest,
    policy: GatePolicy,
    expectedWaitMilliseconds: number,
    signal: AbortSignal,
  ): Promise<Entrance> {
    return new Promise((resolve) => {
      const waiting: Waiting = {
        account: request.account,
        weight: request.weight,
        tokens: request.tokens,
        start() {
          clearTimeout(timer);
          signal.removeEventListener('abort', giveUp);
          resolve(admit(request));
        },
      };
      const giveUp = (): void => {
        clearTimeout(timer);
        signal.removeEventListener('abort', giveUp);
        if (!queue.remove(waiting)) return;
        const retryAfter = Math.max(policy.retryAfterMilliseconds, expectedWaitMilliseconds);
        resolve(refused(ResultCode.Overloaded, 'waited too long in the queue', retryAfter));
      };
      const longest = Math.min(policy.queueMilliseconds, request.remainingMilliseconds);
      const timer = setTimeout(giveUp, longest);
      signal.addEventListener('abort', giveUp);
      queue.push(waiting);
    });
  }

  return {
    async enter(request, signal) {
      if (options.isDraining()) return refused(ResultCode.Draining, 'draining', 0);
      const suspended = suspendedMilliseconds();
      if (suspended > 0) {
        return refused(ResultCode.Overloaded, 'the backend server backs off', suspended);
      }
      // A dead server fails requests fast and so looks idle: it would draw all new work to itself.
      if (!options.isBackendReachable()) {
        return refused(ResultCode.NoBackendServer, 'the backend server is not there', 0);
      }
      const policy = options.policy();
      if (policy === undefined) {
        return refused(ResultCode.NotReady, 'no configuration', NOT_READY_RETRY_MILLISECONDS);
      }
      const state = limitState();
      shares.requestArrived(request.account, performance.now());
      const admission = planAdmission({
        // Whoever waits already goes first, unless this account may use a slot that they may not.
        isSlotFree: !queue.hasStartable(mayStart) && mayStart(request.account),
        limit: state.limit,
        queued: queue.size,
        queuedTokens: queue.tokens,
        runningTokens,
        stepMilliseconds: state.stepMilliseconds,
        requestTokens: request.tokens,
        remainingMilliseconds: request.remainingMilliseconds,
        maximumQueued: policy.maximumQueuedRequests,
        queueMilliseconds: policy.queueMilliseconds,
        minimumRetryAfterMilliseconds: policy.retryAfterMilliseconds,
      });
      switch (admission.kind) {
        case AdmissionKind.Start:
          return admit(request);
        case AdmissionKind.Queue:
          return wait(request, policy, admission.expectedWaitMilliseconds, signal);
        case AdmissionKind.Refuse:
          return refused(
            REFUSAL_CODES[admission.reason],
            admission.reason,
            admission.retryAfterMilliseconds,
          );
        default: {
          const unreachable: never = admission;
          return unreachable;
        }
      }
    },
    observe(evidence) {
      const policy = options.policy();
      if (policy === undefined) return;
      if (evidence.kind === BackendObservationKind.Step) lastStepAt = performance.now();
      const before = limitState();
      limit = planLimit(before, evidence, policy);
      if (limit.limit === before.limit) return;
      options.logger.decision({
        kind: 'admissionLimit',
        subject: options.name,
        choice: String(limit.limit),
        reason: `${evidence.kind}, was ${before.limit}`,
      });
      startWaiting();
    },
    suspend(milliseconds) {
      suspendedUntil = Math.max(suspendedUntil, performance.now() + milliseconds);
      setTimeout(startAfterSuspension, Math.ceil(milliseconds)).unref();
    },
    suspendedMilliseconds,
    load() {
      const state = limitState();
      return {
        running,
        queued: queue.size,
        limit: state.limit,
        inFlightTokens: runningTokens + queue.tokens,
        // A time from long ago, or the document's, would make an idle server look slow for good:
        // nobody would send it work, and without work it could never show that it is not.
        stepMilliseconds: isStepFresh() ? state.stepMilliseconds : 0,
        warm: state.isReportedWarm,
      };
    },
  };
}

export { BackendObservationKind };
