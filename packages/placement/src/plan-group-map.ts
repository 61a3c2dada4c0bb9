/**
 * Plans the next maps of a whole group, one for each layer set. The duration of a pass is the sum
 * over the sets of the time of their slowest rank, so each set is planned on its own.
 *
 * Few experts are loaded for one change, because copying them lengthens passes just when they are
 * long already, and the first few bring most of the gain. In one day's changes on a group of twelve
 * ranks, 17 to 23 loaded experts reduced a skew of 3 to 3.7 to 1.25 and took 0.24 to 0.30 s to
 * copy; 41 reduced it to 1.15 and took 0.45 s.
 */
import type { ExpertLoad, ExpertMap } from './expert-map.js';
import { countNewExpertsByRank, predictRankTimes, skewOf } from './expert-map.js';
import { MapDecisionKind, planMap } from './plan-map.js';
import type { MapDecision } from './plan-map.js';
import type { GroupMap } from './rank-report.js';

export interface GroupMapPolicy {
  /** Experts that a rank can hold in one set. */
  readonly placesPerRank: number;
  /** Experts of one set that a rank can load for one map. */
  readonly newPerRank: number;
  /** Relative reduction of the pass time below which the maps are kept. */
  readonly minimumGain: number;
}

export interface GroupMapDecision {
  readonly map: GroupMap;
  /** Experts that all ranks together have to load. */
  readonly moves: number;
  /** Sum over the sets of the slowest rank's time, divided by the sum of the mean times. */
  readonly skewBefore: number;
  readonly skewAfter: number;
  readonly isWorthwhile: boolean;
}

/** Skew of a set that is good enough: each further expert has to be copied and gains little. */
const TARGET_SET_SKEW = 1.3;
/** Skew from which a set may load more experts than usual. */
const HIGH_SET_SKEW = 1.5;
/**
 * Experts that one rank loads over all sets, unless a set stays highly skewed. A rank loads them
 * one after the other, and passes are longer until the last rank has finished. Two take half as
 * long as one in each of four sets.
 */
const USUAL_NEW_EXPERTS_PER_RANK = 2;
/** Upper bound of the search, far above the moves it needs. */
const MAXIMUM_MOVES = 400;

/** `newExpertsByRank` counts the experts that each rank loads for the sets planned so far. */
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

/** The plan of the sets handled so far. */
interface GroupPlanDraft {
  readonly sets: ExpertMap[];
  /** Experts that each rank loads for the sets planned so far. */
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
 * `loads` holds one load for each set; throws when one is missing. `yieldToEventLoop` is awaited
 * between sets: planning 8 sets of 252 experts for 63 ranks takes 10 to 30 ms of a whole core, and
 * three times that on a small instance, and no report is read and no order sent meanwhile.
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
