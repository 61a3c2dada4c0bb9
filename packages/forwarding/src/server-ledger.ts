/**
 * What this entry knows of each backend server's load and soundness: its own requests there,
 * the server's last report, and how recent requests went. A report lags, so it is corrected by
 * what this entry has sent and seen ended since.
 */
import type { BackendServer } from '@lapisbridge/catalog';
import type { ServerView } from '@lapisbridge/routing';

import type { ReportedLoad } from './caller-protocol.js';

/** What the end of an attempt says of its server. */
export enum Verdict {
  Sound = 'sound',
  Failing = 'failing',
  /** It was given up before the server could have answered. */
  Open = 'open',
}

/**
 * What a refusal says of its server. A full server is neither sound nor failing; one that refuses
 * with slots free fails, and would draw every request by its low load.
 */
export function judgeRefusal(hasRoom: boolean): Verdict {
  return hasRoom ? Verdict.Failing : Verdict.Open;
}

export interface ServerLedger {
  sent(instanceId: string, promptTokens: number): void;
  /** A stream's first event, or a whole answer, came after this time. */
  answered(instanceId: string, milliseconds: number, promptTokens: number): void;
  ended(instanceId: string, verdict: Verdict, promptTokens: number, wasAnswered: boolean): void;
  /** `ageMilliseconds`: how long ago the load was read, where it was relayed. */
  reported(instanceId: string, load: ReportedLoad, ageMilliseconds?: number): void;
  /** Own requests now at the server. */
  inFlight(instanceId: string): number;
  /** Whether requests wait at the server, by its last report. */
  isQueueing(instanceId: string): boolean;
  /** Whether the server had a free slot, by its last report; false where there is none to go by. */
  hasRoom(server: BackendServer): boolean;
  /** `senders` are the entries that send to the same servers. */
  view(
    server: BackendServer,
    limits: Pick<
      ServerView,
      'limitedForMilliseconds' | 'backoffMilliseconds' | 'brokenForMilliseconds' | 'isSilent'
    >,
    senders: number,
  ): ServerView;
  /** Forgets servers that are gone. */
  keepOnly(instanceIds: ReadonlyMap<string, unknown>): void;
}

interface Entry {
  inFlight: number;
  unreadTokens: number;
  typical: number;
  suspicion: number;
  suspicionAt: number;
  report: ReportedLoad | undefined;
  reportAt: number;
  /** Own requests there when the report was taken. */
  inFlightAtReport: number;
}

/** Weight of the newest time in the running mean: about the last ten answers count. */
const TYPICAL_WEIGHT = 0.1;
/** Half-life of a failure: a server that recovers gets work again after a few seconds. */
const SUSPICION_HALF_LIFE_MILLISECONDS = 2500;
/** One sound answer takes this share of the doubt away. */
const SOUND_FACTOR = 0.75;
const MAXIMUM_SUSPICION = 6;
/** Reports older than this say nothing any more. */
const REPORT_MILLISECONDS = 1500;

export function createServerLedger(now: () => number): ServerLedger {
  const entries = new Map<string, Entry>();

  function entryOf(instanceId: string): Entry {
    let entry = entries.get(instanceId);
    if (entry === undefined) {
      entry = {
        inFlight: 0,
        unreadTokens: 0,
        typical: 0,
        suspicion: 0,
        suspicionAt: 0,
        report: undefined,
        reportAt: -Infinity,
        inFlightAtReport: 0,
      };
      entries.set(instanceId, entry);
    }
    return entry;
  }

  function suspicionNow(entry: Entry): number {
    const age = now() - entry.suspicionAt;
    return entry.suspicion * 0.5 ** (age / SUSPICION_HALF_LIFE_MILLISECONDS);
  }

  function reportAge(entry: Entry): number | undefined {
    const age = now() - entry.reportAt;
    return age > REPORT_MILLISECONDS ? undefined : age;
  }

  function outstanding(entry: Entry): number {
    const { report } = entry;
    if (report === undefined || reportAge(entry) === undefined) return entry.inFlight;
    return Math.max(entry.inFlight, report.running + report.waiting + grown(entry));
  }

  /** Own requests there, more or fewer than when the report was taken. */
  function grown(entry: Entry): number {
    return entry.inFlight - entry.inFlightAtReport;
  }

  /** Where this entry sends, others do too: all have seen the same report. */
  function expected(entry: Entry, senders: number): number {
    const unseen = reportAge(entry) === undefined ? 0 : Math.max(0, grown(entry));
    return outstanding(entry) + unseen * Math.max(0, senders - 1);
  }

  return {
    sent(instanceId, promptTokens) {
      const entry = entryOf(instanceId);
      entry.inFlight += 1;
      entry.unreadTokens += promptTokens;
    },
    answered(instanceId, milliseconds, promptTokens) {
      const entry = entryOf(instanceId);
      entry.unreadTokens = Math.max(0, entry.unreadTokens - promptTokens);
      entry.typical =
        entry.typical === 0
          ? milliseconds
          : entry.typical + (milliseconds - entry.typical) * TYPICAL_WEIGHT;
    },
    ended(instanceId, verdict, promptTokens, wasAnswered) {
      const entry = entryOf(instanceId);
      entry.inFlight = Math.max(0, entry.inFlight - 1);
      if (!wasAnswered) entry.unreadTokens = Math.max(0, entry.unreadTokens - promptTokens);
      const suspicion = suspicionNow(entry);
      switch (verdict) {
        case Verdict.Sound:
          entry.suspicion = suspicion * SOUND_FACTOR;
          break;
        case Verdict.Failing:
          entry.suspicion = Math.min(MAXIMUM_SUSPICION, suspicion + 1);
          break;
        case Verdict.Open:
          entry.suspicion = suspicion;
          break;
        default: {
          const unreachable: never = verdict;
          throw new Error(String(unreachable));
        }
      }
      entry.suspicionAt = now();
    },
    reported(instanceId, load, ageMilliseconds = 0) {
      const entry = entryOf(instanceId);
      const reportAt = now() - ageMilliseconds;
      if (reportAt < entry.reportAt) return;
      entry.report = load;
      entry.reportAt = reportAt;
      entry.inFlightAtReport = entry.inFlight;
    },
    isQueueing(instanceId) {
      const entry = entries.get(instanceId);
      if (entry?.report === undefined || reportAge(entry) === undefined) return false;
      return entry.report.waiting > 0;
    },
    hasRoom({ instanceId, slots }) {
      const entry = entries.get(instanceId);
      if (entry?.report === undefined || reportAge(entry) === undefined) return false;
      return entry.report.running + entry.report.waiting < slots;
    },
    inFlight: (instanceId) => entries.get(instanceId)?.inFlight ?? 0,
    view(server, limits, senders) {
      const entry = entryOf(server.instanceId);
      return {
        instanceId: server.instanceId,
        availabilityZone: server.availabilityZone,
        slots: server.slots,
        outstanding: outstanding(entry),
        expectedOutstanding: expected(entry, senders),
        pendingPrefillTokens: entry.unreadTokens,
        typicalResponseMilliseconds: entry.typical,
        reportAgeMilliseconds: reportAge(entry),
        decayedFailures: suspicionNow(entry),
        ...limits,
      };
    },
    keepOnly(instanceIds) {
      for (const [instanceId, entry] of entries) {
        if (!instanceIds.has(instanceId) && entry.inFlight === 0) entries.delete(instanceId);
      }
    },
  };
}
