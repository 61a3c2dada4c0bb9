/**
 * Decides how one rank's sidecar handles an order of its group's leader. Pure. Two rules keep all
 * ranks on one map in every step: a rank changes its map only while it is paused, and it resumes
 * only on the order of a leader that knows that every rank has changed.
 */
import { ResultCode } from '@lapisbridge/errors';

export enum RankStep {
  Query = 'query',
  Prepare = 'prepare',
  Pause = 'pause',
  Switch = 'switch',
  Resume = 'resume',
  /** Ends a rollout that was not committed; the old map stays in force. */
  Abort = 'abort',
}

export interface RankState {
  /** Highest fencing number seen; orders of earlier leaders are refused. */
  readonly fencingNumber: number;
  /** Highest rollout that was resumed or aborted here; its late orders are refused. */
  readonly closedRollout: number;
  /** Latest rollout seen; orders of earlier ones are refused. */
  readonly currentRollout: number;
  readonly activeVersion: number;
  readonly preparedVersion: number;
  /** Rollout for which the rank is paused; 0 while it runs. */
  readonly pausedForRollout: number;
}

export interface RankOrderInput {
  readonly step: RankStep;
  readonly fencingNumber: number;
  readonly rollout: number;
  readonly mapVersion: number;
}

export interface RankDecision {
  readonly code: ResultCode;
  readonly state: RankState;
  /** What the engine has to do before the new state is valid; undefined when nothing. */
  readonly effect: Exclude<RankStep, RankStep.Query | RankStep.Abort> | undefined;
}

export const INITIAL_RANK_STATE: RankState = {
  fencingNumber: 0,
  closedRollout: 0,
  currentRollout: 0,
  activeVersion: 0,
  preparedVersion: 0,
  pausedForRollout: 0,
};

function refuse(state: RankState, code: ResultCode): RankDecision {
  return { code, state, effect: undefined };
}

function isStale(state: RankState, order: RankOrderInput): boolean {
  return (
    order.fencingNumber < state.fencingNumber ||
    order.rollout <= state.closedRollout ||
    order.rollout < state.currentRollout
  );
}

export function planRankOrder(state: RankState, order: RankOrderInput): RankDecision {
  if (order.step === RankStep.Query) {
    if (order.fencingNumber < state.fencingNumber) {
      return refuse(state, ResultCode.StaleFencingNumber);
    }
    const fencedState = { ...state, fencingNumber: order.fencingNumber };
    return { code: ResultCode.Accepted, state: fencedState, effect: undefined };
  }
  // Otherwise a leader that was frozen past its lease, or a datagram delayed by minutes, would
  // pause, switch or resume a single rank, and the group would run a step with two maps.
  if (isStale(state, order)) return refuse(state, ResultCode.StaleFencingNumber);
  const updated = {
    ...state,
    fencingNumber: order.fencingNumber,
    currentRollout: order.rollout,
  };
  switch (order.step) {
    case RankStep.Prepare:
      return {
        code: ResultCode.Accepted,
        state: { ...updated, preparedVersion: order.mapVersion },
        effect: RankStep.Prepare,
      };
    case RankStep.Pause:
      return {
        code: ResultCode.Accepted,
        state: { ...updated, pausedForRollout: order.rollout },
        effect: RankStep.Pause,
      };
    case RankStep.Switch: {
      if (updated.pausedForRollout !== order.rollout)
        return refuse(updated, ResultCode.PrepareFailed);
      if (updated.activeVersion === order.mapVersion) {
        return { code: ResultCode.Accepted, state: updated, effect: undefined };
      }
      if (updated.preparedVersion !== order.mapVersion) {
        return refuse(updated, ResultCode.PrepareFailed);
      }
      const switched = { ...updated, activeVersion: order.mapVersion };
      return { code: ResultCode.Accepted, state: switched, effect: RankStep.Switch };
    }
    case RankStep.Resume: {
      const isReady =
        updated.pausedForRollout === order.rollout && updated.activeVersion === order.mapVersion;
      if (!isReady) return refuse(updated, ResultCode.PrepareFailed);
      const resumed = { ...updated, pausedForRollout: 0, closedRollout: order.rollout };
      return { code: ResultCode.Accepted, state: resumed, effect: RankStep.Resume };
    }
    case RankStep.Abort: {
      const isPaused = updated.pausedForRollout === order.rollout;
      const aborted = {
        ...updated,
        pausedForRollout: isPaused ? 0 : updated.pausedForRollout,
        closedRollout: order.rollout,
      };
      return {
        code: ResultCode.Accepted,
        state: aborted,
        effect: isPaused ? RankStep.Resume : undefined,
      };
    }
    default: {
      const unreachable: never = order.step;
      throw new Error(String(unreachable));
    }
  }
}
