/**
 * What a report holds. Times are milliseconds, points in time ISO 8601 by the clock of the
 * instance that wrote the line.
 */
import type { EndCounts } from './request-counts.js';

/** Counts of one zone, route, account, server or cause. */
export interface CountedBy {
  readonly name: string;
  readonly counts: EndCounts;
}

export interface Percentiles {
  readonly name: string;
  readonly samples: number;
  readonly median: number;
  readonly p90: number;
  readonly p99: number;
  readonly highest: number;
}

export interface SecondReport {
  readonly from: string;
  readonly counts: EndCounts;
  /** Requests that a chosen server had in hand, on average and at most; 0 without sends. */
  readonly meanOutstanding: number;
  readonly mostOutstanding: number;
}

export interface ServerLoad {
  readonly name: string;
  readonly sends: number;
  readonly meanOutstanding: number;
  readonly mostOutstanding: number;
}

export interface OutageReport {
  readonly matter: string;
  readonly from: string;
  /** Undefined where it lasted to the end of the logs. */
  readonly milliseconds: number | undefined;
  readonly cause: string;
  /** From its end to the first expert map in force; undefined for other matters, or without one. */
  readonly toMapMilliseconds: number | undefined;
  /** From its end to the first bin of time in which nobody was late or refused again. */
  readonly toCalmMilliseconds: number | undefined;
}

export interface CostlyMoment {
  readonly from: string;
  readonly counts: EndCounts;
  /** Callers that were late, and twice those that were lost. */
  readonly cost: number;
  /** For `explain`. */
  readonly requestIds: readonly string[];
}

export interface Report {
  readonly from: string | undefined;
  readonly to: string | undefined;
  readonly lines: number;
  /** Lines that are no log lines. */
  readonly skipped: number;
  /** Callers at their first try; improper requests are not among them. */
  readonly asked: number;
  readonly counts: EndCounts;
  /** Requests sent to a server whose end stands in no line: their process ended first. */
  readonly unfinished: number;
  readonly secondsPerBin: number;
  readonly seconds: readonly SecondReport[];
  readonly zones: readonly CountedBy[];
  readonly routes: readonly CountedBy[];
  readonly accounts: readonly CountedBy[];
  readonly servers: readonly CountedBy[];
  readonly causes: readonly CountedBy[];
  readonly serverLoads: readonly ServerLoad[];
  readonly firstEvents: readonly Percentiles[];
  readonly pauses: readonly Percentiles[];
  readonly outages: readonly OutageReport[];
  readonly costliest: readonly CostlyMoment[];
}
