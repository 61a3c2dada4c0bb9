/**
 * Watches the demand for experts and decides when a group gets a new map: after a shift, on what
 * came since; when the load has become uneven; and as soon as the group has formed anew.
 */
import { setImmediate } from 'node:timers/promises';

import type { Logger } from '@lapisbridge/logger';
import { planGroupMap, rankTimes, skewOf } from '@lapisbridge/placement';
import type { GroupMap, RankReport } from '@lapisbridge/placement';

import type { DemandWindow } from './demand-window.js';

/** What a model's engines allow. */
export interface GroupProfile {
  readonly sets: number;
  readonly experts: number;
  readonly placesPerRank: number;
  readonly newPerRank: number;
}

export interface MapPlannerOptions {
  /** Over about a second: what maps are planned for. */
  readonly demand: DemandWindow;
  /** Over some tenths of a second: shows a shift early, and is too noisy to plan for. */
  readonly recentDemand: DemandWindow;
  readonly logger: Logger;
  now(): number;
}

export interface PlanningInput {
  /** Last report of the rank beside the leader. */
  readonly ownReport: RankReport;
  /** The map in force. */
  readonly current: GroupMap;
  readonly profile: GroupProfile;
  /** How much slower than usual each rank is. */
  readonly slowdownFactors: readonly number[];
}

export interface MapPlanner {
  /** Whether it is time for another look. */
  isDue(): boolean;
  /** The map to bring into force; undefined when the one in force stays. */
  plan(view: PlanningInput): Promise<GroupMap | undefined>;
}

/** Between two looks at the skew. */
const PLANNING_INTERVAL_MILLISECONDS = 80;
/** Skew from which the load is planned for anew without a shift: well above the 1.25 of new maps. */
const REPLAN_SKEW = 1.65;
/** Skew of the last tenths of a second that means a shift, above what the mix of a few requests makes. */
const SHIFT_SKEW = 1.75;
/** A change must shorten the experts' part of a pass by this share: loading slows passes. */
const MINIMUM_GAIN = 0.1;
/**
 * After a shift, choices are gathered for this long before a plan is made of them alone. Also in
 * large groups, whose ranks tell more rarely: there a shift is noticed later too, so that what
 * they tell next was chosen after it.
 */
const GATHERING_MILLISECONDS = 190;
/**
 * Choices of each expert on average that must be in a window before it says anything: those of
 * about five requests in a group of 12 ranks with 4 sets of 72 experts.
 */
const MINIMUM_CHOICES_PER_EXPERT = 2400;

/** Most loaded rank against the mean, over all sets. */
function skewUnderMap(
  window: DemandWindow,
  map: GroupMap,
  slowdownFactors: readonly number[],
  sets: number,
): number {
  let slowest = 0;
  let mean = 0;
  for (const [set, load] of window.loads(sets, slowdownFactors).entries()) {
    const times = rankTimes(map.sets[set], load);
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
      // A group that formed anew is back at its first map. Planning for the demand from before
      // brings a balanced one some 0.4 s sooner than gathering would.
      isGathering = demand.totalChoices() > minimumChoices;
    }
    if (!isGathering) {
      const skew = skewUnderMap(demand, current, slowdownFactors, profile.sets);
      const recentSkew = skewUnderMap(recentDemand, current, slowdownFactors, profile.sets);
      const hasShifted = recentSkew > SHIFT_SKEW && recentDemand.totalChoices() > minimumChoices;
      if (!hasShifted && (skew < REPLAN_SKEW || demand.totalChoices() < minimumChoices))
        return undefined;
      isGathering = true;
      // What came before the shift would blur what comes now.
      if (hasShifted) demand.reset();
      logger.decision({
        kind: 'placement',
        subject: ownReport.group,
        choice: 'gather',
        reason: hasShifted ? 'the demand has shifted' : 'the load is uneven',
        facts: {
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
      choice: decision.isWorthIt ? 'change' : 'keep',
      reason: `${decision.moves} loads`,
      facts: {
        skewBefore: Number(decision.skewBefore.toFixed(3)),
        skewAfter: Number(decision.skewAfter.toFixed(3)),
        choices: Math.round(demand.totalChoices()),
        milliseconds: Math.round(now() - plannedAt),
        activeVersion: ownReport.activeVersion,
      },
    });
    return decision.isWorthIt ? decision.map : undefined;
  }

  return {
    isDue: () => now() - plannedAt >= PLANNING_INTERVAL_MILLISECONDS,
    plan,
  };
}
