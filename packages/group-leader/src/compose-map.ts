/**
 * Reconstructs a group's map from the experts that each rank reports. Pure.
 */
import type { GroupMap } from '@lapisbridge/placement';

import type { GroupProfile } from './map-planner.js';
import type { RankMap } from './rank-client.js';

export interface ComposedMap {
  readonly map: GroupMap;
  /** Whether every rank reported its experts. */
  readonly isComplete: boolean;
}

/** With two ranks missing it is unknown which of them holds which of the remaining experts. */
const MAXIMUM_MISSING_RANKS = 1;

/** Experts of a set that no rank reports. */
function findUncovered(
  ranks: readonly (readonly number[] | undefined)[],
  experts: number,
): number[] {
  const covered = new Set<number>();
  for (const held of ranks) for (const expert of held ?? []) covered.add(expert);
  const uncovered: number[] = [];
  for (let expert = 0; expert < experts; expert += 1) {
    if (!covered.has(expert)) uncovered.push(expert);
  }
  return uncovered;
}

/**
 * Undefined when a rank reports another version, when more than one rank is missing, or when the
 * reports do not cover all experts. A missing rank gets the experts that no other rank holds.
 */
export function composeMap(
  rankMaps: readonly (RankMap | undefined)[],
  version: number,
  profile: GroupProfile,
): ComposedMap | undefined {
  let missing = 0;
  for (const map of rankMaps) {
    if (map === undefined) missing += 1;
    else if (map.version !== version) return undefined;
  }
  if (missing > MAXIMUM_MISSING_RANKS) return undefined;
  const sets: GroupMap['sets'][number][] = [];
  for (let set = 0; set < profile.sets; set += 1) {
    const ranks = rankMaps.map((map) => map?.experts[set]);
    const uncovered = findUncovered(ranks, profile.experts);
    if (missing === 0 && uncovered.length > 0) return undefined;
    sets.push({ experts: ranks.map((held) => [...(held ?? uncovered)]) });
  }
  return { map: { sets }, isComplete: missing === 0 };
}

/**
 * A valid map that keeps one rank's current experts and distributes the remaining ones arbitrarily
 * over the other ranks. Used to overwrite a prepared map at that rank; never becomes active.
 */
export function createPlaceholderMap(
  own: RankMap,
  rank: number,
  ranks: number,
  profile: GroupProfile,
): GroupMap {
  const sets = own.experts.map((held) => {
    const experts = Array.from({ length: ranks }, (_, at) => (at === rank ? [...held] : []));
    const others = experts.filter((_, at) => at !== rank);
    for (const [index, expert] of findUncovered([held], profile.experts).entries()) {
      others[index % others.length]?.push(expert);
    }
    return { experts };
  });
  return { sets };
}
