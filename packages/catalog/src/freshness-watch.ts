/**
 * How fresh an instance's copy of a table is when others follow the table for it. A call to the
 * store costs, whoever makes it, so few entries read and all report how long ago the store
 * confirmed their copy; reports are passed on with their age, so that a chain of entries cannot
 * confirm a copy that the store has not.
 */
import { isObject, numberOf } from '@lapisbridge/json-call';

/** What an entry reports of its copy of a table. */
export interface FreshnessReport {
  /** Revision of the newest change that matters: heartbeats of servers do not. */
  readonly revision: number;
  /** Milliseconds since the store confirmed that nothing newer exists. */
  readonly ageMilliseconds: number;
}

/** Undefined where it is no such report. */
export function decodeFreshnessReport(value: unknown): FreshnessReport | undefined {
  if (!isObject(value)) return undefined;
  const revision = numberOf(value, 'revision');
  const ageMilliseconds = numberOf(value, 'ageMilliseconds');
  if (revision === undefined || ageMilliseconds === undefined) return undefined;
  return { revision, ageMilliseconds: Math.max(0, ageMilliseconds) };
}

export interface FreshnessWatch {
  /** Takes the report of another entry. */
  onReport(entry: string, report: FreshnessReport): void;
  /** Milliseconds since the store confirmed to anyone that this revision is the newest. */
  freshnessAgeMilliseconds(revision: number): number;
  /** The entry whose report is the newest confirmation; undefined while there is none. */
  confirmedBy(): string | undefined;
}

interface HeardReport {
  readonly revision: number;
  readonly confirmedAt: number;
  readonly heardAt: number;
}

/** Reports of entries that have been gone for longer are dropped. */
const FORGET_MILLISECONDS = 10_000;

export function createFreshnessWatch(now: () => number): FreshnessWatch {
  const reports = new Map<string, HeardReport>();
  return {
    onReport(entry, { revision, ageMilliseconds }) {
      reports.set(entry, { revision, confirmedAt: now() - ageMilliseconds, heardAt: now() });
    },
    freshnessAgeMilliseconds(revision) {
      let latest = -Infinity;
      for (const [entry, report] of reports) {
        if (now() - report.heardAt > FORGET_MILLISECONDS) {
          reports.delete(entry);
          continue;
        }
        // Unconfirmed until the newer copy is fetched.
        if (report.revision > revision) return Infinity;
        latest = Math.max(latest, report.confirmedAt);
      }
      return now() - latest;
    },
    confirmedBy() {
      let by: string | undefined;
      let latest = -Infinity;
      for (const [entry, { confirmedAt }] of reports) {
        if (confirmedAt <= latest) continue;
        latest = confirmedAt;
        by = entry;
      }
      return by;
    },
  };
}
