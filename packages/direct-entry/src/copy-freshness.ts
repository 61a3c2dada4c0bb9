/**
 * Freshness of an entry's table copies. Combines the store's confirmations to this entry with those
 * that other entries report, and builds this entry's own reports.
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

/** Freshness of the copies of both tables. */
export interface CopyFreshness {
  /** Estimate of the store's clock; receives the time of each response. */
  readonly clock: StoreClock;
  /** Version of this entry's copy; revision 0 before the first copy. */
  versionOf(table: FollowedTable): CopyVersion;
  /** Sets the fingerprint of a new copy; returns false if the content is the same as before. */
  replaceFingerprint(table: FollowedTable, fingerprint: string): boolean;
  /** Records the report of another entry. */
  onReport(table: FollowedTable, entry: string, report: FreshnessReport): void;
  /** Milliseconds since a time of the store's clock; `Infinity` if the time is undefined. */
  ageOf(storeTime: number | undefined): number;
  /** Milliseconds since the store confirmed the copy to this entry; `Infinity` if it has not. */
  ownAgeMilliseconds(table: FollowedTable): number;
  /** Milliseconds since the store confirmed the copy to any entry; `Infinity` if it has not. */
  ageMilliseconds(table: FollowedTable): number;
  /** This entry's report on its copy; undefined if the store has not confirmed it. */
  reportOf(table: FollowedTable): FreshnessReport | undefined;
  /** The latest confirmation of any copy that other entries have reported. */
  latestConfirmation(table: FollowedTable): Confirmation | undefined;
}

/** `now` is the local monotonic clock in milliseconds. */
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

  function versionOf(table: FollowedTable): CopyVersion {
    const revision = follower(table).copy()?.revision ?? 0;
    return { revision, fingerprint: fingerprints[table] };
  }

  /** When the store confirmed the current content to other entries, by the store's clock. */
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
    // A store clock that was set back or drifts must not make a response older than its call.
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
