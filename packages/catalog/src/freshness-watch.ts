/**
 * How fresh an instance's copy of a table is when others follow the table for it. A call to the
 * store costs, whoever makes it, so few entries read and all report how long ago the store
 * confirmed their copy; reports are passed on with their age, so that a chain of entries cannot
 * confirm a copy that the store has not.
 */
import { isObject, numberOf, textOf } from '@lapisbridge/json-call';

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
  /** Milliseconds since the store confirmed that nothing newer exists. */
  readonly ageMilliseconds: number;
}

/** Undefined where it is no such report. */
export function decodeFreshnessReport(value: unknown): FreshnessReport | undefined {
  if (!isObject(value)) return undefined;
  const revision = numberOf(value, 'revision');
  const fingerprint = textOf(value, 'fingerprint');
  const ageMilliseconds = numberOf(value, 'ageMilliseconds');
  if (revision === undefined || fingerprint === undefined || ageMilliseconds === undefined) {
    return undefined;
  }
  return { revision, fingerprint, ageMilliseconds: Math.max(0, ageMilliseconds) };
}

export interface Confirmation {
  /** Instance id of the entry that reported it. */
  readonly entry: string;
  readonly ageMilliseconds: number;
}

export interface FreshnessWatch {
  /** Takes the report of another entry. */
  onReport(entry: string, report: FreshnessReport): void;
  /** Milliseconds since the store confirmed to anyone that this copy is the newest. */
  freshnessAgeMilliseconds(copy: CopyVersion): number;
  /** The newest confirmation of any copy by the store; undefined while there is none. */
  latestConfirmation(): Confirmation | undefined;
}

interface HeardReport extends CopyVersion {
  readonly confirmedAt: number;
  readonly heardAt: number;
}

/** Reports of entries that have been gone for longer are dropped. */
const FORGET_MILLISECONDS = 10_000;

export function createFreshnessWatch(now: () => number): FreshnessWatch {
  const reports = new Map<string, HeardReport>();

  function recent(): ReadonlyMap<string, HeardReport> {
    const from = now() - FORGET_MILLISECONDS;
    for (const [entry, { heardAt }] of reports) if (heardAt < from) reports.delete(entry);
    return reports;
  }

  return {
    onReport(entry, { revision, fingerprint, ageMilliseconds }) {
      const confirmedAt = now() - ageMilliseconds;
      reports.set(entry, { revision, fingerprint, confirmedAt, heardAt: now() });
    },
    freshnessAgeMilliseconds({ revision, fingerprint }) {
      let latest = -Infinity;
      for (const report of recent().values()) {
        if (report.fingerprint === fingerprint) latest = Math.max(latest, report.confirmedAt);
        // Unconfirmed until the newer copy is fetched.
        else if (report.revision > revision) return Infinity;
      }
      return now() - latest;
    },
    latestConfirmation() {
      let latest: Confirmation | undefined;
      for (const [entry, { confirmedAt }] of recent()) {
        const ageMilliseconds = now() - confirmedAt;
        if (ageMilliseconds < (latest?.ageMilliseconds ?? Infinity))
          latest = { entry, ageMilliseconds };
      }
      return latest;
    },
  };
}
