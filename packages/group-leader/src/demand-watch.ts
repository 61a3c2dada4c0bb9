/**
 * Watches the demand for experts and decides when a group gets a new map: after a shift, on what
 * came since; when the load has become uneven; and as soon as the group has formed anew.
 */
import { setImmediate } from 'node:timers/promises';

import type { Logger } from '@lapisbridge/logger';
import { planGroupMap, predictRankTimes, skewOf } from '@lapisbridge/placement';
import type { GroupMap, RankReport } from '@lapisbridge/placement';

import type { Demand } from './demand.js';

/** What a model's engines allow. */
export interface GroupProfile {
  readonly sets: number;
  readonly experts: number;
  readonly placesPerRank: number;
  readonly newPerRank: number;
}

export interface DemandWatchOptions {
  /** Over about a second: what maps are planned for. */
  readonly demand: Demand;
  /** Over some tenths of a second: shows a shift early, and is too noisy to plan for. */
  readonly recentDemand: Demand;
  readonly logger: Logger;
  now(): number;
}

export interface DemandView {
  /** Last report of the rank beside the leader. */
  readonly own: RankReport;
  /** The map in force. */
  readonly current: GroupMap;
  readonly profile: GroupProfile;
  /** How much slower than usual each rank is. */
  readonly paces: readonly number[];
}

export interface DemandWatch {
  /** Whether it is time for another look. */
  isDue(): boolean;
  /** The map to bring into force; undefined when the one in force stays. */
  consider(view: DemandView): Promise<GroupMap | undefined>;
}

/** Between two looks at the skew. */
const PLAN_MILLISECONDS = 80;
/** Skew from which the load is planned for anew without a shift: well above the 1.25 of new maps. */
const FAIR_SKEW = 1.65;
/** Skew of the last tenths of a second that means a shift, above what the mix of a few requests makes. */
const SHIFT_SKEW = 1.75;
/** A change must shorten the experts' part of a pass by this share: loading slows passes. */
const MINIMUM_GAIN = 0.1;
/**
 * After a shift, choices are gathered for this long before a plan is made of them alone. Also in
 * large groups, whose ranks tell more rarely: there a shift is noticed later too, so that what
 * they tell next was chosen after it.
 */
const GATHER_MILLISECONDS = 190;
/**
 * Choices of each expert on average that must be in a window before it says anything: those of
 * about five requests in a group of 12 ranks with 4 sets of 72 experts.
 */
const MINIMUM_CHOICES_PER_EXPERT = 2400;

/** Most loaded rank against the mean, over all sets. */
function skewIn(window: Demand, map: GroupMap, paces: readonly number[], sets: number): number {
  let slowest = 0;
  let mean = 0;
  for (const [set, load] of window.loads(sets, paces).entries()) {
    const times = predictRankTimes(map.sets[set], load);
    const setMean = times.reduce((sum, time) => sum + time, 0) / times.length;
    mean += setMean;
    slowest += setMean * skewOf(times);
  }
  return mean === 0 ? 1 : slowest / mean;
}

export function createDemandWatch(options: DemandWatchOptions): DemandWatch {
  const { demand, recentDemand, logger, now } = options;
  let plannedAt = -Infinity;
  let isGathering = false;
  let plannedEpoch = -1;

  async function consider({
    own,
    current,
    profile,
    paces,
  }: DemandView): Promise<GroupMap | undefined> {
    plannedAt = now();
    const fewest = MINIMUM_CHOICES_PER_EXPERT * profile.sets * profile.experts;
    if (own.epoch !== plannedEpoch) {
      plannedEpoch = own.epoch;
      // A group that formed anew is back at its first map. Planning for the demand from before
      // brings a balanced one some 0.4 s sooner than gathering would.
      isGathering = demand.total() > fewest;
    }
    if (!isGathering) {
      const skew = skewIn(demand, current, paces, profile.sets);
      const recentSkew = skewIn(recentDemand, current, paces, profile.sets);
      const hasShifted = recentSkew > SHIFT_SKEW && recentDemand.total() > fewest;
      if (!hasShifted && (skew < FAIR_SKEW || demand.total() < fewest)) return undefined;
      isGathering = true;
      // What came before the shift would blur what comes now.
      if (hasShifted) demand.restart();
      logger.decision({
        kind: 'placement',
        subject: own.group,
        choice: 'gather',
        reason: hasShifted ? 'the demand has shifted' : 'the load is uneven',
        facts: {
          skew: Number(skew.toFixed(3)),
          recentSkew: Number(recentSkew.toFixed(3)),
          activeVersion: own.activeVersion,
        },
      });
      if (hasShifted) return undefined;
    }
    const isEnough = demand.age() > GATHER_MILLISECONDS && demand.total() > fewest;
    if (!isEnough) return undefined;
    isGathering = false;
    const policy = {
      placesPerRank: profile.placesPerRank,
      newPerRank: profile.newPerRank,
      minimumGain: MINIMUM_GAIN,
    };
    const loads = demand.loads(profile.sets, paces);
    const decision = await planGroupMap(current, loads, policy, () => setImmediate());
    logger.decision({
      kind: 'placement',
      subject: own.group,
      choice: decision.isWorthwhile ? 'change' : 'keep',
      reason: `${decision.moves} loads`,
      facts: {
        skewBefore: Number(decision.skewBefore.toFixed(3)),
        skewAfter: Number(decision.skewAfter.toFixed(3)),
        choices: Math.round(demand.total()),
        milliseconds: Math.round(now() - plannedAt),
        activeVersion: own.activeVersion,
      },
    });
    return decision.isWorthwhile ? decision.map : undefined;
  }

  return {
    isDue: () => now() - plannedAt >= PLAN_MILLISECONDS,
    consider,
  };
}
