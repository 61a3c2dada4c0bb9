/**
 * The map with which engines start a newly formed group: experts assigned round-robin, in every
 * set.
 */
import { initialMap } from '@lapisbridge/placement';
import type { GroupMap } from '@lapisbridge/placement';

import type { GroupProfile } from './map-planner.js';

export function initialGroupMap(profile: GroupProfile, ranks: number): GroupMap {
  const sets = Array.from({ length: profile.sets }, () => initialMap(profile.experts, ranks));
  return { sets };
}
