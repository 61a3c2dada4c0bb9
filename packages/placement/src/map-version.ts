/**
 * Numbers of map versions. Leaders number their maps with even versions; the odd one above each is
 * for voiding it and is never armed, so that a rank can void a map without asking a leader.
 */

/** The next leader's versions begin above these. */
const VERSIONS_PER_FENCE = 1000;
const VERSION_INCREMENT = 2;

/** `count` begins at 1 with each leader. */
export function leaderVersion(fencingNumber: number, count: number): number {
  return fencingNumber * VERSIONS_PER_FENCE + count * VERSION_INCREMENT;
}

/** The version that voids a leader's. */
export function voidingVersionOf(version: number): number {
  return version + 1;
}

export function isVoidingVersion(version: number): boolean {
  return version % VERSION_INCREMENT !== 0;
}
