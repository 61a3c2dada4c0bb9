/**
 * Tracks the load and health of each backend server as seen by this entry: its own requests in
 * flight, the server's last load report, and the outcome of recent requests. Reports lag, so they
 * are corrected by what this entry has sent and seen end since.
 */
import type { BackendServer } from '@lapisbridge/catalog';
import type { ServerView } from '@lapisbridge/routing';

import type { ReportedLoad } from './caller-protocol.js';

/** What the end of an attempt says about the health of its server. */
export enum Verdict {
  Healthy = 'sound',
  Failing = 'failing',
  /**
   * Says nothing about the server: the attempt was cancelled before the server could have answered,
   * or refused by a full server.
   */
  Inconclusive = 'open',
}

/**
 * Verdict of a refused attempt. A full server is neither healthy nor failing. One that refuses with
 * free slots is failing, and would otherwise attract every request by its low load.
 */
export function verdictOfRefusal(hasFreeSlot: boolean): Verdict {
  return hasFreeSlot ? Verdict.Failing : Verdict.Inconclusive;
}

export interface ServerLoadTracker {
  recordSent(instanceId: string, promptTokens: number): void;
  /** Records that a stream's first event, or a complete answer, arrived after this time. */
  recordAnswer(instanceId: string, milliseconds: number, promptTokens: number): void;
  /**
   * Records that an attempt was cancelled after this time because another server answered first:
   * the answer would have taken longer.
   */
  recordOvertaken(instanceId: string, milliseconds: number): void;
  recordEnd(instanceId: string, verdict: Verdict, promptTokens: number, wasAnswered: boolean): void;
  /**
   * Records a load report. `ageMilliseconds` is how long ago the load was read, if it was relayed.
   */
  recordReport(instanceId: string, load: ReportedLoad, ageMilliseconds?: number): void;
  /** This entry's requests in flight at the server. */
  inFlight(instanceId: string): number;
  /** Whether requests are queued at the server, according to its last report. */
  isQueueing(instanceId: string): boolean;
  /**
   * Whether the server had a free slot, according to its last report; false without a recent one.
   */
  hasFreeSlot(server: BackendServer): boolean;
  /** Requests at the server, and this entry's among them; undefined without a recent report. */
  reportedRequests(instanceId: string): ReportedRequests | undefined;
  /** `othersPerRequest`: requests that other entries send for each one of this entry. */
  view(
    server: BackendServer,
    limits: Pick<
      ServerView,
      'limitedForMilliseconds' | 'backoffMilliseconds' | 'brokenForMilliseconds' | 'isSilent'
    >,
    othersPerRequest: number,
  ): ServerView;
  /** Drops the state of servers that are no longer listed and have no requests in flight. */
  keepOnly(instanceIds: ReadonlyMap<string, unknown>): void;
}

export interface ReportedRequests {
  readonly all: number;
  readonly own: number;
}

interface ServerRecord {
  inFlight: number;
  unreadTokens: number;
  typicalMilliseconds: number;
  suspicion: number;
  suspicionAt: number;
  report: ReportedLoad | undefined;
  reportAt: number;
  /** This entry's requests in flight when the report was received. */
  inFlightAtReport: number;
}

/** Weight of the newest time in the moving average, which covers about the last ten answers. */
const NEWEST_ANSWER_WEIGHT = 0.1;
/**
 * Half-life of suspicion, so that a server that recovers gets requests again after a few seconds.
 */
const SUSPICION_HALF_LIFE_MILLISECONDS = 2500;
/** Factor by which one healthy answer reduces suspicion. */
const HEALTHY_ANSWER_FACTOR = 0.75;
const MAXIMUM_SUSPICION = 6;
/** Older reports are ignored. */
const MAXIMUM_REPORT_AGE_MILLISECONDS = 1500;

export function createServerLoadTracker(now: () => number): ServerLoadTracker {
  const records = new Map<string, ServerRecord>();

  function recordOf(instanceId: string): ServerRecord {
    let record = records.get(instanceId);
    if (record === undefined) {
      record = {
        inFlight: 0,
        unreadTokens: 0,
        typicalMilliseconds: 0,
        suspicion: 0,
        suspicionAt: 0,
        report: undefined,
        reportAt: -Infinity,
        inFlightAtReport: 0,
      };
      records.set(instanceId, record);
    }
    return record;
  }

  function decayedSuspicion(record: ServerRecord): number {
    const age = now() - record.suspicionAt;
    return record.suspicion * 0.5 ** (age / SUSPICION_HALF_LIFE_MILLISECONDS);
  }

  function reportAge(record: ServerRecord): number | undefined {
    const age = now() - record.reportAt;
    return age > MAXIMUM_REPORT_AGE_MILLISECONDS ? undefined : age;
  }

  function outstanding(record: ServerRecord): number {
    const { report } = record;
    if (report === undefined || reportAge(record) === undefined) return record.inFlight;
    return Math.max(record.inFlight, report.running + report.waiting + inFlightGrowth(record));
  }

  /** Change of this entry's requests in flight since the report was received. */
  function inFlightGrowth(record: ServerRecord): number {
    return record.inFlight - record.inFlightAtReport;
  }

  /**
   * Estimates the requests at the server. The other entries have seen the same report, and are
   * assumed to have sent requests since in proportion to their traffic.
   */
  function expected(record: ServerRecord, othersPerRequest: number): number {
    const unseen = reportAge(record) === undefined ? 0 : Math.max(0, inFlightGrowth(record));
    return outstanding(record) + unseen * othersPerRequest;
  }

  function updateTypical(record: ServerRecord, milliseconds: number): void {
    const { typicalMilliseconds: typical } = record;
    record.typicalMilliseconds =
      typical === 0 ? milliseconds : typical + (milliseconds - typical) * NEWEST_ANSWER_WEIGHT;
  }

  return {
    recordSent(instanceId, promptTokens) {
      const record = recordOf(instanceId);
      record.inFlight += 1;
      record.unreadTokens += promptTokens;
    },
    recordAnswer(instanceId, milliseconds, promptTokens) {
      const record = recordOf(instanceId);
      record.unreadTokens = Math.max(0, record.unreadTokens - promptTokens);
      updateTypical(record, milliseconds);
    },
    recordOvertaken(instanceId, milliseconds) {
      const record = recordOf(instanceId);
      if (milliseconds > record.typicalMilliseconds) updateTypical(record, milliseconds);
    },
    recordEnd(instanceId, verdict, promptTokens, wasAnswered) {
      const record = recordOf(instanceId);
      record.inFlight = Math.max(0, record.inFlight - 1);
      if (!wasAnswered) record.unreadTokens = Math.max(0, record.unreadTokens - promptTokens);
      const suspicion = decayedSuspicion(record);
      switch (verdict) {
        case Verdict.Healthy:
          record.suspicion = suspicion * HEALTHY_ANSWER_FACTOR;
          break;
        case Verdict.Failing:
          record.suspicion = Math.min(MAXIMUM_SUSPICION, suspicion + 1);
          break;
        case Verdict.Inconclusive:
          record.suspicion = suspicion;
          break;
        default: {
          const unreachable: never = verdict;
          throw new Error(String(unreachable));
        }
      }
      record.suspicionAt = now();
    },
    recordReport(instanceId, load, ageMilliseconds = 0) {
      const record = recordOf(instanceId);
      const reportAt = now() - ageMilliseconds;
      if (reportAt < record.reportAt) return;
      record.report = load;
      record.reportAt = reportAt;
      record.inFlightAtReport = record.inFlight;
    },
    isQueueing(instanceId) {
      const record = records.get(instanceId);
      if (record?.report === undefined || reportAge(record) === undefined) return false;
      return record.report.waiting > 0;
    },
    hasFreeSlot({ instanceId, slots }) {
      const record = records.get(instanceId);
      if (record?.report === undefined || reportAge(record) === undefined) return false;
      return record.report.running + record.report.waiting < slots;
    },
    inFlight: (instanceId) => records.get(instanceId)?.inFlight ?? 0,
    reportedRequests(instanceId) {
      const record = records.get(instanceId);
      if (record?.report === undefined || reportAge(record) === undefined) return undefined;
      const { running, waiting } = record.report;
      return { all: running + waiting, own: record.inFlightAtReport };
    },
    view(server, limits, othersPerRequest) {
      const record = recordOf(server.instanceId);
      return {
        instanceId: server.instanceId,
        availabilityZone: server.availabilityZone,
        slots: server.slots,
        outstanding: outstanding(record),
        expectedOutstanding: expected(record, othersPerRequest),
        pendingPrefillTokens: record.unreadTokens,
        typicalResponseMilliseconds: record.typicalMilliseconds,
        reportAgeMilliseconds: reportAge(record),
        decayedFailures: decayedSuspicion(record),
        ...limits,
      };
    },
    keepOnly(instanceIds) {
      for (const [instanceId, record] of records) {
        if (!instanceIds.has(instanceId) && record.inFlight === 0) records.delete(instanceId);
      }
    },
  };
}
