/**
 * How many requests a backend server may carry at once. A server in a cold start falls
 * over under full load, so the limit begins at the document's cold value and grows only on
 * evidence of good step times under load; it falls at once on evidence of the opposite,
 * since a warm server can turn cold again without notice.
 */
export enum EvidenceKind {
  /** The engine's own report. */
  Reported = 'reported',
  /** One step of one answer took this long while so many requests ran. */
  Step = 'step',
  /** The engine refused a connection, restarted or broke off an answer. */
  Lost = 'lost',
}

export type Evidence =
  | { readonly kind: EvidenceKind.Reported; readonly warm: boolean }
  | {
      readonly kind: EvidenceKind.Step;
      readonly milliseconds: number;
      readonly running: number;
    }
  | { readonly kind: EvidenceKind.Lost };

export interface LimitPolicy {
  readonly coldConcurrency: number;
  readonly maximumConcurrency: number;
  readonly expectedStepMilliseconds: number;
}

export interface LimitState {
  readonly limit: number;
  /** False until the engine itself has said that it is warm. */
  readonly reportedWarm: boolean;
  /** Smoothed time of one step, in milliseconds. */
  readonly stepMilliseconds: number;
  /** Steps seen so far; the first ones weigh more, so that the document's guess is soon forgotten. */
  readonly seenSteps: number;
  readonly goodSteps: number;
  readonly badSteps: number;
}

const GROWTH = 1.25;
const SHRINK = 0.5;
/** A step slower than this multiple of the expected one counts against the server. */
const BAD_FACTOR = 3;
/** One slow step is noise; so many in a row are a jump. */
const BAD_STEPS = 5;
const SMOOTHING = 0.1;
/** Growth needs the limit to be in use, or idle time would count as evidence. */
const USED_SHARE = 0.6;
/** Steps per unit of limit before the limit grows. */
const STEPS_PER_GROWTH = 4;

export function initialLimit(policy: LimitPolicy): LimitState {
  return {
    limit: Math.min(policy.coldConcurrency, policy.maximumConcurrency),
    reportedWarm: false,
    stepMilliseconds: policy.expectedStepMilliseconds,
    seenSteps: 0,
    goodSteps: 0,
    badSteps: 0,
  };
}

function reset(state: LimitState, policy: LimitPolicy): LimitState {
  const { stepMilliseconds, seenSteps } = state;
  return { ...initialLimit(policy), stepMilliseconds, seenSteps };
}

function planStep(
  state: LimitState,
  milliseconds: number,
  running: number,
  policy: LimitPolicy,
): LimitState {
  const weight = Math.max(SMOOTHING, 1 / (state.seenSteps + 1));
  const stepMilliseconds =
    state.stepMilliseconds + (milliseconds - state.stepMilliseconds) * weight;
  const seenSteps = state.seenSteps + 1;
  if (milliseconds > policy.expectedStepMilliseconds * BAD_FACTOR) {
    const badSteps = state.badSteps + 1;
    if (badSteps < BAD_STEPS)
      return { ...state, stepMilliseconds, seenSteps, badSteps, goodSteps: 0 };
    const limit = Math.max(policy.coldConcurrency, Math.floor(state.limit * SHRINK));
    return { ...state, stepMilliseconds, seenSteps, limit, goodSteps: 0, badSteps: 0 };
  }
  const used = running >= state.limit * USED_SHARE;
  const goodSteps = used ? state.goodSteps + 1 : state.goodSteps;
  const grown = { ...state, stepMilliseconds, seenSteps, goodSteps, badSteps: 0 };
  if (!state.reportedWarm || goodSteps < state.limit * STEPS_PER_GROWTH) return grown;
  const limit = Math.min(
    policy.maximumConcurrency,
    Math.max(state.limit + 1, Math.floor(state.limit * GROWTH)),
  );
  return { ...grown, limit, goodSteps: 0 };
}

export function planLimit(state: LimitState, evidence: Evidence, policy: LimitPolicy): LimitState {
  switch (evidence.kind) {
    case EvidenceKind.Reported:
      if (evidence.warm) return { ...state, reportedWarm: true };
      return reset(state, policy);
    case EvidenceKind.Step:
      return planStep(state, evidence.milliseconds, evidence.running, policy);
    case EvidenceKind.Lost:
      return reset(state, policy);
    default: {
      const unreachable: never = evidence;
      return unreachable;
    }
  }
}
