/**
 * The map that engines give a group when it forms: experts in turn, in every set.
 */
import { initialMap } from '@lapisbridge/placement';
import type { GroupMap } from '@lapisbridge/placement';

import type { GroupProfile } from './map-planner.js';

export function initialGroupMap(profile: GroupProfile, ranks: number): GroupMap {
  const sets = Array.from({ length: profile.sets }, () => initialMap(profile.experts, ranks));
  return { sets };
}
