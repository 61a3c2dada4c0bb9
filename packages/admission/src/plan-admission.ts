/**
 * Decides whether a request starts now, waits in the short queue, or is refused immediately. Pure.
 */
export enum AdmissionKind {
  Start = 'start',
  Queue = 'queue',
  Refuse = 'refuse',
}

export enum RefusalReason {
  QueueFull = 'queueFull',
  DeadlineTooShort = 'deadlineTooShort',
}

export type Admission =
  | { readonly kind: AdmissionKind.Start }
  | { readonly kind: AdmissionKind.Queue; readonly expectedWaitMilliseconds: number }
  | {
      readonly kind: AdmissionKind.Refuse;
      readonly reason: RefusalReason;
      readonly retryAfterMilliseconds: number;
    };

export interface AdmissionInput {
  /** Whether the request's account may take a slot now. */
  readonly isSlotFree: boolean;
  readonly limit: number;
  readonly queued: number;
  readonly queuedTokens: number;
  /** Estimated tokens of all running requests. */
  readonly runningTokens: number;
  readonly stepMilliseconds: number;
  readonly requestTokens: number;
  readonly remainingMilliseconds: number;
  readonly maximumQueued: number;
  readonly queueMilliseconds: number;
  readonly minimumRetryAfterMilliseconds: number;
}

/**
 * Estimated milliseconds until a request that joins the queue now gets a slot. Running requests are
 * taken to be half done on average.
 */
export function estimateWaitMilliseconds(input: AdmissionInput): number {
  const tokensAhead = input.queuedTokens + input.runningTokens / 2;
  return (tokensAhead * input.stepMilliseconds) / Math.max(1, input.limit);
}

/**
 * Refuses a request that cannot finish before its deadline, since it would only take a slot from
 * one that can. A refusal tells the caller after how many milliseconds to try again.
 */
export function planAdmission(input: AdmissionInput): Admission {
  const serviceMilliseconds = input.requestTokens * input.stepMilliseconds;
  if (input.isSlotFree) {
    if (serviceMilliseconds <= input.remainingMilliseconds) return { kind: AdmissionKind.Start };
    return refuse(RefusalReason.DeadlineTooShort, 0, input);
  }
  const waitMilliseconds = estimateWaitMilliseconds(input);
  if (input.queued >= input.maximumQueued || waitMilliseconds > input.queueMilliseconds) {
    return refuse(RefusalReason.QueueFull, waitMilliseconds, input);
  }
  if (waitMilliseconds + serviceMilliseconds > input.remainingMilliseconds) {
    return refuse(RefusalReason.DeadlineTooShort, waitMilliseconds, input);
  }
  return { kind: AdmissionKind.Queue, expectedWaitMilliseconds: waitMilliseconds };
}

function refuse(reason: RefusalReason, waitMilliseconds: number, input: AdmissionInput): Admission {
  return {
    kind: AdmissionKind.Refuse,
    reason,
    retryAfterMilliseconds: Math.max(
      input.minimumRetryAfterMilliseconds,
      Math.ceil(waitMilliseconds),
    ),
  };
}
