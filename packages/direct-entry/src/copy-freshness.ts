/**
 * How fresh an entry's copies of the store's tables are: what the store has confirmed to the entry
 * itself and to others, and what the entry reports of it.
 */
import { createFreshnessTracker, createStoreClock } from '@lapisbridge/catalog';
import type {
  Confirmation,
  CopyVersion,
  FreshnessReport,
  FreshnessTracker,
  StoreClock,
  TableFollower,
} from '@lapisbridge/catalog';

import { FollowedTable } from './copy-exchange.js';

export interface CopyFreshness {
  /** Of the store; told of each answer. */
  readonly clock: StoreClock;
  versionOf(table: FollowedTable): CopyVersion;
  /** Takes the fingerprint of a copy that was taken over; false where it is the same as before. */
  replaceFingerprint(table: FollowedTable, fingerprint: string): boolean;
  /** Takes the report of another entry. */
  onReport(table: FollowedTable, entry: string, report: FreshnessReport): void;
  /** Milliseconds since a moment of the store's clock; infinite where there is none. */
  ageOf(storeTime: number | undefined): number;
  /** Milliseconds since the store confirmed the copy to this entry itself. */
  ownAgeMilliseconds(table: FollowedTable): number;
  /** Milliseconds since the store confirmed the copy to anyone; infinite where it has not. */
  ageMilliseconds(table: FollowedTable): number;
  /** What this entry reports of its copy; undefined where the store has not confirmed it. */
  reportOf(table: FollowedTable): FreshnessReport | undefined;
  /** The newest confirmation of any copy that others have reported. */
  latestConfirmation(table: FollowedTable): Confirmation | undefined;
}

export function createCopyFreshness(
  now: () => number,
  follower: (table: FollowedTable) => TableFollower,
): CopyFreshness {
  const clock = createStoreClock(now);
  /** Empty before the first copy. */
  const fingerprints = { [FollowedTable.Operators]: '', [FollowedTable.Servers]: '' };
  const trackers: Readonly<Record<FollowedTable, FreshnessTracker>> = {
    [FollowedTable.Operators]: createFreshnessTracker(now, clock),
    [FollowedTable.Servers]: createFreshnessTracker(now, clock),
  };

  /** Revision 0 before the first copy. */
  function versionOf(table: FollowedTable): CopyVersion {
    const revision = follower(table).copy()?.revision ?? 0;
    return { revision, fingerprint: fingerprints[table] };
  }

  function confirmedToPeersAt(table: FollowedTable): number | undefined {
    const version = versionOf(table);
    return version.revision === 0 ? undefined : trackers[table].confirmedAt(version);
  }

  function ageOf(storeTime: number | undefined): number {
    return storeTime === undefined ? Infinity : clock.ageMilliseconds(storeTime);
  }

  function ownAgeMilliseconds(table: FollowedTable): number {
    const own = follower(table).confirmation();
    if (own === undefined) return Infinity;
    // A clock that was set back, or runs at another pace, cannot make an answer older than its call.
    return Math.min(ageOf(own.answeredAt), now() - own.requestedAt);
  }

  return {
    clock,
    versionOf,
    replaceFingerprint(table, fingerprint) {
      if (fingerprint === fingerprints[table]) return false;
      fingerprints[table] = fingerprint;
      return true;
    },
    onReport: (table, entry, report) => trackers[table].onReport(entry, report),
    ageOf,
    ownAgeMilliseconds,
    ageMilliseconds: (table) =>
      Math.min(ownAgeMilliseconds(table), ageOf(confirmedToPeersAt(table))),
    reportOf(table) {
      const own = follower(table).confirmation()?.answeredAt;
      const others = confirmedToPeersAt(table);
      if (own === undefined && others === undefined) return undefined;
      const confirmedAt = Math.max(own ?? -Infinity, others ?? -Infinity);
      return { ...versionOf(table), confirmedAt };
    },
    latestConfirmation: (table) => trackers[table].latestConfirmation(),
  };
}
