/**
 * Plans the next maps of a whole group, set by set. A pass lasts as long as the sum over the
 * sets of their most loaded rank, so each set is planned for itself. Loads are kept few: copying
 * them makes every pass longer just when passes are long already, and the first few bring most
 * of the gain: from a skew of 3 to 3.7, 17 to 23 loads lead to 1.25, where 41 led to 1.15 and took
 * 0.45 s of copying instead of 0.24 to 0.30 s (one day's changes on a group of twelve ranks).
 */
import type { ExpertLoad, ExpertMap } from './expert-map.js';
import { countNewExpertsByRank, predictRankTimes, skewOf } from './expert-map.js';
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
  readonly isWorthwhile: boolean;
}

/** Skew of a set that is good enough: each further load costs a copy and gains little. */
const TARGET_SET_SKEW = 1.3;
/** A set that is skewed more than this is worth more loads than are usually taken. */
const HIGH_SET_SKEW = 1.5;
/**
 * Experts that one rank loads over all sets, unless a set stays badly skewed. A rank loads them
 * one after the other, and passes are longer until the last rank is done: with two the copy
 * takes half as long as with one in each of four sets.
 */
const USUAL_NEW_EXPERTS_PER_RANK = 2;
/** Bound of the search, far above what it takes. */
const MAXIMUM_MOVES = 400;

/** `loaded` holds what each rank loads for the sets planned so far. */
function planSet(
  current: ExpertMap,
  load: ExpertLoad,
  policy: GroupMapPolicy,
  newExpertsByRank: readonly number[],
): MapDecision {
  let best: MapDecision | undefined;
  const maximumNewExperts =
    Math.max(USUAL_NEW_EXPERTS_PER_RANK, ...newExpertsByRank) + policy.newPerRank;
  for (
    let newExpertsPerRank = USUAL_NEW_EXPERTS_PER_RANK;
    newExpertsPerRank <= maximumNewExperts;
    newExpertsPerRank += 1
  ) {
    const maximumNewExpertsByRank = newExpertsByRank.map((alreadyLoaded) =>
      Math.min(policy.newPerRank, newExpertsPerRank - alreadyLoaded),
    );
    const decision = planMap(current, load, {
      slotsPerRank: policy.placesPerRank,
      maximumMoves: MAXIMUM_MOVES,
      horizonSteps: Infinity,
      minimumGain: 0,
      moveCostSteps: 0,
      maximumNewExpertsByRank,
      targetSkew: TARGET_SET_SKEW,
    });
    if (best === undefined || decision.skewAfter < best.skewAfter) best = decision;
    if (best.skewAfter < HIGH_SET_SKEW) break;
  }
  return best as MapDecision;
}

/** A plan on its way, set by set. */
interface GroupPlanDraft {
  readonly sets: ExpertMap[];
  /** What each rank loads for the sets planned so far. */
  newExpertsByRank: readonly number[];
  slowestTimeBefore: number;
  slowestTimeAfter: number;
  meanTime: number;
  moves: number;
}

function planNextSet(
  draft: GroupPlanDraft,
  current: ExpertMap,
  load: ExpertLoad,
  policy: GroupMapPolicy,
): void {
  const decision = planSet(current, load, policy, draft.newExpertsByRank);
  const times = predictRankTimes(current, load);
  const setMeanTime = times.reduce((total, time) => total + time, 0) / times.length;
  draft.meanTime += setMeanTime;
  draft.slowestTimeBefore += setMeanTime * skewOf(times);
  draft.slowestTimeAfter += setMeanTime * decision.skewAfter;
  if (decision.kind === MapDecisionKind.Keep) {
    draft.sets.push(current);
    return;
  }
  const added = countNewExpertsByRank(current, decision.map);
  draft.newExpertsByRank = draft.newExpertsByRank.map((count, rank) => count + (added[rank] ?? 0));
  for (const count of added) draft.moves += count;
  draft.sets.push(decision.map);
}

/**
 * `loads` holds one load for each set. `pause` is awaited between two sets: planning 8 sets of
 * 252 experts for 63 ranks takes 10 to 30 ms of a whole core, and three times that on a small
 * instance, in which no report would be read and no order sent.
 */
export async function planGroupMap(
  current: GroupMap,
  loads: readonly ExpertLoad[],
  policy: GroupMapPolicy,
  yieldToEventLoop: () => Promise<void>,
): Promise<GroupMapDecision> {
  const ranks = current.sets[0]?.experts ?? [];
  const draft: GroupPlanDraft = {
    sets: [],
    newExpertsByRank: ranks.map(() => 0),
    slowestTimeBefore: 0,
    slowestTimeAfter: 0,
    meanTime: 0,
    moves: 0,
  };
  for (const [index, set] of current.sets.entries()) {
    const load = loads[index];
    if (load === undefined) throw new Error(`no load for set ${index}`);
    planNextSet(draft, set, load, policy);
    await yieldToEventLoop();
  }
  const { sets, slowestTimeBefore, slowestTimeAfter, meanTime, moves } = draft;
  return {
    map: { sets },
    moves,
    skewBefore: meanTime === 0 ? 1 : slowestTimeBefore / meanTime,
    skewAfter: meanTime === 0 ? 1 : slowestTimeAfter / meanTime,
    isWorthwhile:
      slowestTimeBefore > 0 &&
      (slowestTimeBefore - slowestTimeAfter) / slowestTimeBefore >= policy.minimumGain,
  };
}
