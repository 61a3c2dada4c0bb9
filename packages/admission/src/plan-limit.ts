/**
 * Adaptive concurrency limit of a backend server. A server that has just started fails under full
 * load, so the limit starts at the configured cold concurrency and grows only while step times
 * stay good under load. It drops after a few slow steps in a row and as soon as the server is lost,
 * since a warm server can turn cold again without notice.
 */
export enum BackendObservationKind {
  /** The engine's own report. */
  Reported = 'reported',
  /** Duration of one step of one answer, and how many requests were running. */
  Step = 'step',
  /** The engine refused a connection, restarted or aborted an answer. */
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
  /** Whether the engine has reported since the last reset that it is warm. */
  readonly isReportedWarm: boolean;
  /** Smoothed time of one step, in milliseconds. */
  readonly stepMilliseconds: number;
  /**
   * Number of steps observed. The first ones weigh more, so that the configured estimate is
   * replaced quickly.
   */
  readonly observedSteps: number;
  readonly fastStepsUnderLoad: number;
  readonly consecutiveSlowSteps: number;
}

const GROWTH_FACTOR = 1.25;
const SHRINK_FACTOR = 0.5;
/** A step that takes longer than this multiple of the expected time counts as slow. */
const SLOW_STEP_FACTOR = 3;
/** Slow steps in a row that lower the limit; a single slow step is noise. */
const SLOW_STEPS_BEFORE_SHRINK = 5;
const MINIMUM_STEP_WEIGHT = 0.1;
/**
 * Share of the limit that must be in use for a step to count; idle time says nothing about load.
 */
const MINIMUM_UTILIZATION = 0.6;
/** Fast steps under load, per unit of the limit, after which the limit grows. */
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

/** Returns the state after one observation. Pure; the limit stays within the policy's bounds. */
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
