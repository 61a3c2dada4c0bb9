/**
 * Decides when a group needs a new expert map, and plans it: after a shift in demand, from the
 * selections made since the shift; when the load has become uneven; and as soon as the group has
 * formed again.
 */
import { setImmediate } from 'node:timers/promises';

import type { Logger } from '@lapisbridge/logger';
import { planGroupMap, predictRankTimes, skewOf } from '@lapisbridge/placement';
import type { GroupMap, RankReport } from '@lapisbridge/placement';

import type { DemandWindow } from './demand.js';

/** Size and limits of a model's expert placement. */
export interface GroupProfile {
  readonly sets: number;
  readonly experts: number;
  readonly placesPerRank: number;
  readonly newPerRank: number;
}

export interface MapPlannerOptions {
  /** Window of about a second, from which maps are planned. */
  readonly demand: DemandWindow;
  /** Window of a few tenths of a second. Detects a shift early, but is too noisy to plan from. */
  readonly recentDemand: DemandWindow;
  readonly logger: Logger;
  now(): number;
}

export interface PlanningInput {
  /** Last report of the leader's own rank. */
  readonly ownReport: RankReport;
  /** The map in force. */
  readonly current: GroupMap;
  readonly profile: GroupProfile;
  /** By rank: time that a pass takes relative to the usual; 1 for a healthy rank. */
  readonly slowdownFactors: readonly number[];
}

export interface MapPlanner {
  /** Whether the planning interval has elapsed. */
  isDue(): boolean;
  /** The map to apply; undefined when the active map stays. */
  plan(view: PlanningInput): Promise<GroupMap | undefined>;
}

/** Interval between two evaluations of the skew. */
const PLANNING_INTERVAL_MILLISECONDS = 80;
/**
 * Skew that triggers planning without a shift. Well above the 1.25 that newly planned maps have.
 */
const REPLAN_SKEW = 1.65;
/**
 * Skew of the recent window that counts as a shift. Higher than what the mix of a few requests
 * causes.
 */
const SHIFT_SKEW = 1.75;
/**
 * A new map must shorten the expert computation of a pass by at least this share, because loading
 * experts slows passes down.
 */
const MINIMUM_GAIN = 0.1;
/**
 * Time for which selections are collected after a shift, before a map is planned from them alone.
 * The same in large groups, whose ranks report less often: there the shift is also detected later,
 * so that the next reports contain only selections made after it.
 */
const GATHERING_MILLISECONDS = 190;
/**
 * Average number of selections per expert below which a window is not representative. Corresponds
 * to about five requests in a group of 12 ranks with 4 sets of 72 experts.
 */
const MINIMUM_CHOICES_PER_EXPERT = 2400;

/** Ratio of the slowest rank's time to the mean, over all sets. */
function skewUnderMap(
  window: DemandWindow,
  map: GroupMap,
  slowdownFactors: readonly number[],
  sets: number,
): number {
  let slowest = 0;
  let mean = 0;
  for (const [set, load] of window.loads(sets, slowdownFactors).entries()) {
    const times = predictRankTimes(map.sets[set], load);
    const setMean = times.reduce((sum, time) => sum + time, 0) / times.length;
    mean += setMean;
    slowest += setMean * skewOf(times);
  }
  return mean === 0 ? 1 : slowest / mean;
}

export function createMapPlanner(options: MapPlannerOptions): MapPlanner {
  const { demand, recentDemand, logger, now } = options;
  let plannedAt = -Infinity;
  let isGathering = false;
  let plannedEpoch = -1;

  async function plan({
    ownReport,
    current,
    profile,
    slowdownFactors,
  }: PlanningInput): Promise<GroupMap | undefined> {
    plannedAt = now();
    const minimumChoices = MINIMUM_CHOICES_PER_EXPERT * profile.sets * profile.experts;
    if (ownReport.epoch !== plannedEpoch) {
      plannedEpoch = ownReport.epoch;
      // A group that has just formed is back on its initial map. Planning from the earlier demand
      // balances it about 0.4 s sooner than collecting new selections would.
      isGathering = demand.totalChoices() > minimumChoices;
    }
    if (!isGathering) {
      const skew = skewUnderMap(demand, current, slowdownFactors, profile.sets);
      // A slow rank makes the load uneven, but the demand for experts stays what it was.
      const usualFactors = slowdownFactors.map(() => 1);
      const recentSkew = skewUnderMap(recentDemand, current, usualFactors, profile.sets);
      const hasShifted = recentSkew > SHIFT_SKEW && recentDemand.totalChoices() > minimumChoices;
      if (!hasShifted && (skew < REPLAN_SKEW || demand.totalChoices() < minimumChoices))
        return undefined;
      isGathering = true;
      // Selections from before the shift would distort the new estimate.
      if (hasShifted) demand.reset();
      logger.decision({
        kind: 'placement',
        subject: ownReport.group,
        choice: 'gather',
        reason: hasShifted ? 'expert demand has shifted' : 'expert load is uneven',
        facts: {
          slowest: Math.max(...slowdownFactors),
          skew: Number(skew.toFixed(3)),
          recentSkew: Number(recentSkew.toFixed(3)),
          activeVersion: ownReport.activeVersion,
        },
      });
      if (hasShifted) return undefined;
    }
    const hasEnoughChoices =
      demand.ageMilliseconds() > GATHERING_MILLISECONDS && demand.totalChoices() > minimumChoices;
    if (!hasEnoughChoices) return undefined;
    isGathering = false;
    const policy = {
      placesPerRank: profile.placesPerRank,
      newPerRank: profile.newPerRank,
      minimumGain: MINIMUM_GAIN,
    };
    const loads = demand.loads(profile.sets, slowdownFactors);
    const decision = await planGroupMap(current, loads, policy, () => setImmediate());
    logger.decision({
      kind: 'placement',
      subject: ownReport.group,
      choice: decision.isWorthwhile ? 'change' : 'keep',
      reason: `${decision.moves} experts to load`,
      facts: {
        skewBefore: Number(decision.skewBefore.toFixed(3)),
        skewAfter: Number(decision.skewAfter.toFixed(3)),
        choices: Math.round(demand.totalChoices()),
        milliseconds: Math.round(now() - plannedAt),
        activeVersion: ownReport.activeVersion,
      },
    });
    return decision.isWorthwhile ? decision.map : undefined;
  }

  return {
    isDue: () => now() - plannedAt >= PLANNING_INTERVAL_MILLISECONDS,
    plan,
  };
}
