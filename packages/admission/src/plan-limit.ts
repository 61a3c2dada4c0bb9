/**
 * How many requests a backend server may carry at once. A server in a cold start falls
 * over under full load, so the limit begins at the document's cold value and grows only on
 * evidence of good step times under load; it falls at once on evidence of the opposite,
 * since a warm server can turn cold again without notice.
 */
export enum BackendObservationKind {
  /** The engine's own report. */
  Reported = 'reported',
  /** One step of one answer took this long while so many requests ran. */
  Step = 'step',
  /** The engine refused a connection, restarted or broke off an answer. */
  Lost = 'lost',
}

export type BackendObservation =
  | { readonly kind: BackendObservationKind.Reported; readonly warm: boolean }
  | {
      readonly kind: BackendObservationKind.Step;
      readonly milliseconds: number;
      readonly running: number;
    }
  | { readonly kind: BackendObservationKind.Lost };

export interface LimitPolicy {
  readonly coldConcurrency: number;
  readonly maximumConcurrency: number;
  readonly expectedStepMilliseconds: number;
}

export interface LimitState {
  readonly limit: number;
  /** False until the engine itself has said that it is warm. */
  readonly isReportedWarm: boolean;
  /** Smoothed time of one step, in milliseconds. */
  readonly stepMilliseconds: number;
  /** Steps seen so far; the first ones weigh more, so that the document's guess is soon forgotten. */
  readonly observedSteps: number;
  readonly fastStepsUnderLoad: number;
  readonly consecutiveSlowSteps: number;
}

const GROWTH_FACTOR = 1.25;
const SHRINK_FACTOR = 0.5;
/** A step slower than this multiple of the expected one counts against the server. */
const SLOW_STEP_FACTOR = 3;
/** One slow step is noise; so many in a row are a jump. */
const SLOW_STEPS_BEFORE_SHRINK = 5;
const MINIMUM_STEP_WEIGHT = 0.1;
/** Growth needs the limit to be in use, or idle time would count as evidence. */
const MINIMUM_UTILIZATION = 0.6;
/** Steps per unit of limit before the limit grows. */
const FAST_STEPS_PER_LIMIT_UNIT = 4;

export function initialLimit(policy: LimitPolicy): LimitState {
  return {
    limit: Math.min(policy.coldConcurrency, policy.maximumConcurrency),
    isReportedWarm: false,
    stepMilliseconds: policy.expectedStepMilliseconds,
    observedSteps: 0,
    fastStepsUnderLoad: 0,
    consecutiveSlowSteps: 0,
  };
}

function resetLimit(state: LimitState, policy: LimitPolicy): LimitState {
  const { stepMilliseconds, observedSteps } = state;
  return { ...initialLimit(policy), stepMilliseconds, observedSteps };
}

function applyStep(
  state: LimitState,
  milliseconds: number,
  running: number,
  policy: LimitPolicy,
): LimitState {
  const weight = Math.max(MINIMUM_STEP_WEIGHT, 1 / (state.observedSteps + 1));
  const stepMilliseconds =
    state.stepMilliseconds + (milliseconds - state.stepMilliseconds) * weight;
  const observedSteps = state.observedSteps + 1;
  if (milliseconds > policy.expectedStepMilliseconds * SLOW_STEP_FACTOR) {
    const consecutiveSlowSteps = state.consecutiveSlowSteps + 1;
    if (consecutiveSlowSteps < SLOW_STEPS_BEFORE_SHRINK)
      return {
        ...state,
        stepMilliseconds,
        observedSteps,
        consecutiveSlowSteps,
        fastStepsUnderLoad: 0,
      };
    const limit = Math.max(policy.coldConcurrency, Math.floor(state.limit * SHRINK_FACTOR));
    return {
      ...state,
      stepMilliseconds,
      observedSteps,
      limit,
      fastStepsUnderLoad: 0,
      consecutiveSlowSteps: 0,
    };
  }
  const isLimitInUse = running >= state.limit * MINIMUM_UTILIZATION;
  const fastStepsUnderLoad = isLimitInUse ? state.fastStepsUnderLoad + 1 : state.fastStepsUnderLoad;
  const next = {
    ...state,
    stepMilliseconds,
    observedSteps,
    fastStepsUnderLoad,
    consecutiveSlowSteps: 0,
  };
  if (!state.isReportedWarm || fastStepsUnderLoad < state.limit * FAST_STEPS_PER_LIMIT_UNIT)
    return next;
  const limit = Math.min(
    policy.maximumConcurrency,
    Math.max(state.limit + 1, Math.floor(state.limit * GROWTH_FACTOR)),
  );
  return { ...next, limit, fastStepsUnderLoad: 0 };
}

export function planLimit(
  state: LimitState,
  observation: BackendObservation,
  policy: LimitPolicy,
): LimitState {
  switch (observation.kind) {
    case BackendObservationKind.Reported:
      if (observation.warm) return { ...state, isReportedWarm: true };
      return resetLimit(state, policy);
    case BackendObservationKind.Step:
      return applyStep(state, observation.milliseconds, observation.running, policy);
    case BackendObservationKind.Lost:
      return resetLimit(state, policy);
    default: {
      const unreachable: never = observation;
      return unreachable;
    }
  }
}
