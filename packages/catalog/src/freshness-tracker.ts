/**
 * How fresh an instance's copy of a table is when others follow the table for it. A call to the
 * store costs, whoever makes it, so few entries read and all report when the store confirmed
 * their copy. They pass on the store's own time, since entries that dated reports by their arrival
 * would confirm to each other a copy that the store has not.
 */
import { isObject, numberOf, textOf } from '@lapisbridge/json-call';

import type { StoreClock } from './store-clock.js';

/** A copy of a table, as entries compare theirs. */
export interface CopyVersion {
  /** Revision as of which the copy is whole. */
  readonly revision: number;
  /**
   * Of all that matters in the copy: heartbeats of servers do not. Revisions rise with every
   * transaction, so copies of different revisions are mostly the same.
   */
  readonly fingerprint: string;
}

/** What an entry reports of its copy of a table. */
export interface FreshnessReport extends CopyVersion {
  /** When the store confirmed that nothing newer exists: milliseconds of its clock. */
  readonly confirmedAt: number;
}

/** Undefined where it is no such report. */
export function decodeFreshnessReport(value: unknown): FreshnessReport | undefined {
  if (!isObject(value)) return undefined;
  const revision = numberOf(value, 'revision');
  const fingerprint = textOf(value, 'fingerprint');
  const confirmedAt = numberOf(value, 'confirmedAt');
  if (revision === undefined || fingerprint === undefined || confirmedAt === undefined) {
    return undefined;
  }
  return { revision, fingerprint, confirmedAt };
}

export interface Confirmation {
  /** Instance id of the entry that reported it. */
  readonly entryId: string;
  readonly confirmedAt: number;
}

export interface FreshnessTracker {
  /** Takes the report of another entry. */
  onReport(entryId: string, report: FreshnessReport): void;
  /**
   * When the store confirmed to anyone that this copy is the newest, by its clock; undefined
   * where that is not known, or another entry has a newer one.
   */
  confirmedAt(copy: CopyVersion): number | undefined;
  /** The newest confirmation of any copy by the store; undefined while there is none. */
  latestConfirmation(): Confirmation | undefined;
}

interface ReceivedReport extends FreshnessReport {
  readonly receivedAt: number;
}

/** Reports of entries that have been gone for longer are dropped. */
const REPORT_EXPIRY_MILLISECONDS = 10_000;

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
