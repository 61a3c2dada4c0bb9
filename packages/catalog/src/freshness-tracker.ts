/**
 * Tracks how fresh a copy of a table is while other entries read the table on this entry's behalf.
 * Every call to the store has a cost, so only a few entries read; all entries report when the store
 * last confirmed their copy. Reports carry the store's time: if entries dated reports by their
 * arrival, they would keep confirming to each other a copy that the store has not confirmed.
 */
import { isObject, numberOf, textOf } from '@lapisbridge/json-call';

import type { StoreClock } from './store-clock.js';

/** Identifies a copy of a table, so that entries can compare theirs. */
export interface CopyVersion {
  /** Revision as of which the copy is complete. */
  readonly revision: number;
  /**
   * Hash of the relevant content, which excludes heartbeats of servers. Every transaction raises
   * the revision, so copies with different revisions mostly have the same content.
   */
  readonly fingerprint: string;
}

/** An entry's report on its copy of a table, as sent to other entries. */
export interface FreshnessReport extends CopyVersion {
  /** When the store confirmed that the copy is up to date: milliseconds of the store's clock. */
  readonly confirmedAt: number;
  /**
   * Earliest time at which the store can have returned from its last outage, in milliseconds of the
   * store's clock; undefined if the entry knows of none.
   */
  readonly returnedAt?: number | undefined;
}

/** Decodes a report; undefined if the value is not a valid one. */
export function decodeFreshnessReport(value: unknown): FreshnessReport | undefined {
  if (!isObject(value)) return undefined;
  const revision = numberOf(value, 'revision');
  const fingerprint = textOf(value, 'fingerprint');
  const confirmedAt = numberOf(value, 'confirmedAt');
  if (revision === undefined || fingerprint === undefined || confirmedAt === undefined) {
    return undefined;
  }
  return { revision, fingerprint, confirmedAt, returnedAt: numberOf(value, 'returnedAt') };
}

/** The store's confirmation of some entry's copy. */
export interface Confirmation {
  /** Instance id of the entry that reported it. */
  readonly entryId: string;
  /** Milliseconds of the store's clock. */
  readonly confirmedAt: number;
}

/** Reports of other entries on their copies of one table. */
export interface FreshnessTracker {
  /** Records the report of another entry, by its instance id. */
  onReport(entryId: string, report: FreshnessReport): void;
  /**
   * When the store last confirmed this content to any other entry, in milliseconds of the store's
   * clock; undefined if no such report is known or another entry has a newer copy.
   */
  confirmedAt(copy: CopyVersion): number | undefined;
  /** The latest confirmation of any copy; undefined if there is none. */
  latestConfirmation(): Confirmation | undefined;
}

interface ReceivedReport extends FreshnessReport {
  /** Milliseconds of the local clock. */
  readonly receivedAt: number;
}

/** Reports are dropped after this time, so that a stopped entry's newer copy stops counting. */
const REPORT_EXPIRY_MILLISECONDS = 10_000;

/** Creates a tracker for one table; `now` is the local monotonic clock in milliseconds. */
export function createFreshnessTracker(now: () => number, clock: StoreClock): FreshnessTracker {
  const reports = new Map<string, ReceivedReport>();

  function unexpiredReports(): ReadonlyMap<string, ReceivedReport> {
    const oldestReceivedAt = now() - REPORT_EXPIRY_MILLISECONDS;
    for (const [entryId, { receivedAt }] of reports)
      if (receivedAt < oldestReceivedAt) reports.delete(entryId);
    return reports;
  }

  return {
    onReport(entryId, report) {
      clock.observe(report.confirmedAt);
      reports.set(entryId, { ...report, receivedAt: now() });
    },
    confirmedAt({ revision, fingerprint }) {
      let latest: number | undefined;
      for (const report of unexpiredReports().values()) {
        if (report.fingerprint === fingerprint) {
          latest = Math.max(latest ?? report.confirmedAt, report.confirmedAt);
        } else if (report.revision > revision) return undefined;
      }
      return latest;
    },
    latestConfirmation() {
      let latest: Confirmation | undefined;
      for (const [entryId, { confirmedAt }] of unexpiredReports()) {
        if (confirmedAt > (latest?.confirmedAt ?? -Infinity)) latest = { entryId, confirmedAt };
      }
      return latest;
    },
  };
}
