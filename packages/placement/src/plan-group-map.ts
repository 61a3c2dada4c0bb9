/**
 * Plans the next maps of a whole group, set by set. A pass lasts as long as the sum over the
 * sets of their most loaded rank, so each set is planned for itself. Few loads go first: with
 * one new expert a rank and set the copy is short and most of the gain is there; more are taken
 * only where that leaves a set badly skewed.
 */
import type { ExpertLoad } from './expert-map.js';
import { rankTimes, skewOf } from './expert-map.js';
import { MapDecisionKind, planMap } from './plan-map.js';
import type { MapDecision } from './plan-map.js';
import type { GroupMap } from './rank-report.js';

export interface GroupMapPolicy {
  /** Experts that a rank can hold in one set. */
  readonly placesPerRank: number;
  /** Experts of a set that a rank can load for one map. */
  readonly newPerRank: number;
  /** Relative gain of a pass below which the maps are left alone. */
  readonly minimumGain: number;
}

export interface GroupMapDecision {
  readonly map: GroupMap;
  /** Experts that are loaded. */
  readonly moves: number;
  /** Most loaded rank against the mean, over all sets. */
  readonly skewBefore: number;
  readonly skewAfter: number;
  readonly isWorthIt: boolean;
}

/** A set that is skewed more than this after one load a rank may take more loads. */
const BAD_SKEW = 1.3;
/** Skew of a set that is good enough: each further load costs a copy and gains little. */
const FAIR_SET_SKEW = 1.1;
/** Bound of the search, far above what it takes. */
const MAXIMUM_MOVES = 400;

function planSet(
  current: GroupMap['sets'][number],
  load: ExpertLoad,
  policy: GroupMapPolicy,
): MapDecision {
  let best: MapDecision | undefined;
  for (let newPerRank = 1; newPerRank <= policy.newPerRank; newPerRank += 1) {
    const decision = planMap(current, load, {
      slotsPerRank: policy.placesPerRank,
      maximumMoves: MAXIMUM_MOVES,
      horizonSteps: Infinity,
      minimumGain: 0,
      moveCostSteps: 0,
      newPerRank,
      fairSkew: FAIR_SET_SKEW,
    });
    if (best === undefined || decision.skewAfter < best.skewAfter) best = decision;
    if (best.skewAfter < BAD_SKEW) break;
  }
  return best as MapDecision;
}

/** `loads` holds one load for each set. */
export function planGroupMap(
  current: GroupMap,
  loads: readonly ExpertLoad[],
  policy: GroupMapPolicy,
): GroupMapDecision {
  const sets: GroupMap['sets'][number][] = [];
  let before = 0;
  let after = 0;
  let mean = 0;
  let moves = 0;
  for (const [index, set] of current.sets.entries()) {
    const load = loads[index];
    const decision = planSet(set, load, policy);
    const times = rankTimes(set, load);
    const sum = times.reduce((total, time) => total + time, 0);
    const setMean = sum / times.length;
    mean += setMean;
    before += setMean * skewOf(times);
    after += setMean * decision.skewAfter;
    const isChanged = decision.kind === MapDecisionKind.Change;
    if (isChanged) moves += decision.moves;
    sets.push(isChanged ? decision.map : set);
  }
  return {
    map: { sets },
    moves,
    skewBefore: mean === 0 ? 1 : before / mean,
    skewAfter: mean === 0 ? 1 : after / mean,
    isWorthIt: before > 0 && (before - after) / before >= policy.minimumGain,
  };
}
