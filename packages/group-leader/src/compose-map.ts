/**
 * Puts a group's map together from what each rank says that it holds. Pure.
 */
import type { GroupMap } from '@lapisbridge/placement';

import type { GroupProfile } from './map-planner.js';
import type { RankMap } from './rank-client.js';

export interface ComposedMap {
  readonly map: GroupMap;
  /** Whether every rank said what it holds. */
  readonly isComplete: boolean;
}

/** Ranks that may be out of sight: with two, nobody could tell which of them holds what. */
const MAXIMUM_MISSING_RANKS = 1;

/** Experts of a set that no rank names. */
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

/** Undefined when a rank holds another version, or too many are out of sight. */
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
 * A valid map in which one rank holds what it does now. What the other ranks hold in it is made up:
 * it is for voiding at that rank, and never comes into force.
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
