/**
 * Takes log lines one by one, file after file, and counts. Memory is bounded by the number of bins,
 * names and open requests that are kept, whatever the size of the logs.
 */
import type { LogLine } from '@lapisbridge/log-story';
import { build } from 'hdr-histogram-js';
import type { Histogram } from 'hdr-histogram-js';

import { createBoundedGroups } from './bounded-groups.js';
import type { BoundedGroups } from './bounded-groups.js';
import { createOutageList } from './list-outages.js';
import type { CostlyMoment, CountedBy, Percentiles, Report, SecondReport } from './report.js';
import { emptyCounts, EndClass, readEnd } from './request-counts.js';
import type { EndCounts, RequestEnd } from './request-counts.js';
import { costOf, createTimeBins } from './time-bins.js';
import type { TimeBin } from './time-bins.js';

export interface ReportOptions {
  /** Milliseconds since 1970; lines before and after are left out. */
  readonly from?: number;
  readonly to?: number;
}

export interface ReportTally {
  add(line: LogLine): void;
  /** Counts a line that is no log line. */
  skip(): void;
  finish(): Report;
}

const COSTLIEST = 10;
/** Requests whose end may still come; the oldest are given up beyond it. */
const MAXIMUM_OPEN = 100_000;
const HIGHEST_MILLISECONDS = 3_600_000;
const ALL = 'all';

interface Load {
  sends: number;
  outstanding: number;
  most: number;
}

function createHistogram(): Histogram {
  return build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: HIGHEST_MILLISECONDS,
    numberOfSignificantValueDigits: 2,
    bitBucketSize: 32,
  });
}

function toPercentiles(groups: BoundedGroups<Histogram>): Percentiles[] {
  const rows: Percentiles[] = [];
  for (const { name, value } of groups.list()) {
    if (value.totalCount === 0) continue;
    rows.push({
      name,
      samples: value.totalCount,
      median: value.getValueAtPercentile(50),
      p90: value.getValueAtPercentile(90),
      p99: value.getValueAtPercentile(99),
      highest: value.maxValue,
    });
  }
  return rows;
}

function totalOf(counts: EndCounts): number {
  let total = 0;
  for (const end of Object.values(EndClass)) total += counts[end];
  return total;
}

function toCounted(groups: BoundedGroups<EndCounts>): CountedBy[] {
  const rows = groups.list().map(({ name, value }) => ({ name, counts: value }));
  return rows.sort((left, right) => totalOf(right.counts) - totalOf(left.counts));
}

function costOfBin({ counts }: TimeBin): number {
  let cost = 0;
  for (const end of Object.values(EndClass)) cost += counts[end] * costOf(end);
  return cost;
}

function toMoments(bins: readonly TimeBin[]): CostlyMoment[] {
  const moments = bins
    .map((bin) => ({ bin, cost: costOfBin(bin) }))
    .filter(({ cost }) => cost > 0)
    .sort((left, right) => right.cost - left.cost);
  return moments.slice(0, COSTLIEST).map(({ bin, cost }) => ({
    from: new Date(bin.from).toISOString(),
    counts: bin.counts,
    cost,
    requestIds: bin.examples.map(({ requestId }) => requestId),
  }));
}

function toSecond(bin: TimeBin): SecondReport {
  return {
    from: new Date(bin.from).toISOString(),
    counts: bin.counts,
    meanOutstanding: bin.sends === 0 ? 0 : bin.outstanding / bin.sends,
    mostOutstanding: bin.mostOutstanding,
  };
}

export function createReportTally(options: ReportOptions = {}): ReportTally {
  const { from = -Infinity, to = Infinity } = options;
  const total = emptyCounts();
  const bins = createTimeBins();
  const zones = createBoundedGroups(emptyCounts);
  const routes = createBoundedGroups(emptyCounts);
  const accounts = createBoundedGroups(emptyCounts);
  const servers = createBoundedGroups(emptyCounts);
  const causes = createBoundedGroups(emptyCounts);
  const loads = createBoundedGroups<Load>(() => ({ sends: 0, outstanding: 0, most: 0 }));
  const firstEvents = createBoundedGroups(createHistogram);
  const pauses = createBoundedGroups(createHistogram);
  const outages = createOutageList();
  const open = new Set<string>();
  let asked = 0;
  let unfinished = 0;
  let lines = 0;
  let skipped = 0;
  let firstAt = Infinity;
  let lastAt = -Infinity;

  function observe(groups: BoundedGroups<Histogram>, route: string, value: number): void {
    const bounded = Math.min(Math.max(1, Math.round(value)), HIGHEST_MILLISECONDS);
    groups.at(ALL).recordValue(bounded);
    groups.at(route).recordValue(bounded);
  }

  function takeEnd(end: RequestEnd): void {
    open.delete(end.requestId);
    total[end.end] += 1;
    bins.addEnd(end);
    if (end.end === EndClass.Improper) return;
    if (!end.isRetry) asked += 1;
    zones.at(end.availabilityZone)[end.end] += 1;
    routes.at(end.route)[end.end] += 1;
    accounts.at(end.clientAccount)[end.end] += 1;
    if (end.backendServer !== undefined) servers.at(end.backendServer)[end.end] += 1;
    if (end.cause !== undefined) causes.at(end.cause)[end.end] += 1;
    if (end.firstEvent === undefined) return;
    observe(firstEvents, end.route, end.firstEvent);
    if (end.longestPause !== undefined) observe(pauses, end.route, end.longestPause);
  }

  function takeSend(line: LogLine): void {
    const { subject, choice, facts } = line;
    if (subject === undefined) return;
    // One entry writes all lines of a request, so its end follows its sends.
    open.add(subject);
    const oldest = open.size > MAXIMUM_OPEN ? open.values().next().value : undefined;
    if (oldest !== undefined) {
      open.delete(oldest);
      unfinished += 1;
    }
    const outstanding = facts?.outstanding;
    if (typeof outstanding !== 'number' || choice === undefined) return;
    bins.addSend(line.at, outstanding);
    const load = loads.at(choice);
    load.sends += 1;
    load.outstanding += outstanding;
    load.most = Math.max(load.most, outstanding);
  }

  return {
    add(line) {
      if (line.at < from || line.at > to) return;
      lines += 1;
      firstAt = Math.min(firstAt, line.at);
      lastAt = Math.max(lastAt, line.at);
      outages.add(line);
      const end = readEnd(line);
      if (end !== undefined) takeEnd(end);
      else if (line.kind === 'routing') takeSend(line);
    },
    skip() {
      skipped += 1;
    },
    finish() {
      const listed = bins.list();
      return {
        from: lines === 0 ? undefined : new Date(firstAt).toISOString(),
        to: lines === 0 ? undefined : new Date(lastAt).toISOString(),
        lines,
        skipped,
        asked: asked + open.size,
        counts: total,
        unfinished: unfinished + open.size,
        secondsPerBin: bins.widthMilliseconds() / 1000,
        seconds: listed.map(toSecond),
        zones: toCounted(zones),
        routes: toCounted(routes),
        accounts: toCounted(accounts),
        servers: toCounted(servers),
        causes: toCounted(causes),
        serverLoads: loads.list().map(({ name, value }) => ({
          name,
          sends: value.sends,
          meanOutstanding: value.outstanding / value.sends,
          mostOutstanding: value.most,
        })),
        firstEvents: toPercentiles(firstEvents),
        pauses: toPercentiles(pauses),
        outages: outages.list(listed),
        costliest: toMoments(listed),
      };
    },
  };
}
