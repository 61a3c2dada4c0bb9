/**
 * Version numbers of maps. Leaders give their maps even versions. The odd version above each one
 * voids it and is never armed, so that a rank can void a prepared map without asking a leader.
 */

/** Versions that each fencing number provides; those of the next leader start above them. */
const VERSIONS_PER_FENCE = 1000;
const VERSION_INCREMENT = 2;

/** Version of the map that a leader numbers `count`; each leader starts at 1. */
export function leaderVersion(fencingNumber: number, count: number): number {
  return fencingNumber * VERSIONS_PER_FENCE + count * VERSION_INCREMENT;
}

/** The version that voids a leader's version when it is prepared in its place. */
export function voidingVersionOf(version: number): number {
  return version + 1;
}

export function isVoidingVersion(version: number): boolean {
  return version % VERSION_INCREMENT !== 0;
}
