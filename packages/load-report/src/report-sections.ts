/**
 * A report as headed tables, the same for Markdown and for the page.
 */
import type { CountedBy, Percentiles, Report } from './report.js';
import { EndClass } from './request-counts.js';
import type { EndCounts } from './request-counts.js';

export interface Section {
  readonly heading: string;
  readonly headings: readonly string[];
  readonly rows: readonly (readonly string[])[];
}

const END_HEADINGS: Readonly<Record<EndClass, string>> = {
  [EndClass.InTime]: 'in time',
  [EndClass.Late]: 'late',
  [EndClass.Refused]: 'told to come back',
  [EndClass.RefusedAgain]: 'refused again',
  [EndClass.ServerError]: "server's error",
  [EndClass.Failed]: 'failed',
  [EndClass.Gone]: 'gone',
  [EndClass.Improper]: 'improper',
};

const ENDS = Object.values(EndClass);
const COUNT_HEADINGS = ENDS.map((end) => END_HEADINGS[end]);
/** Rows of a table of names; the rest is in the JSON. */
const MAXIMUM_ROWS = 40;

function cellsOf(counts: EndCounts): string[] {
  return ENDS.map((end) => String(counts[end]));
}

function seconds(milliseconds: number | undefined, otherwise: string): string {
  return milliseconds === undefined ? otherwise : `${(milliseconds / 1000).toFixed(1)} s`;
}

function countedSection(heading: string, name: string, counted: readonly CountedBy[]): Section {
  return {
    heading,
    headings: [name, ...COUNT_HEADINGS],
    rows: counted.slice(0, MAXIMUM_ROWS).map((one) => [one.name, ...cellsOf(one.counts)]),
  };
}

function percentileSection(heading: string, percentiles: readonly Percentiles[]): Section {
  return {
    heading,
    headings: ['route', 'samples', 'median', '90%', '99%', 'highest'],
    rows: percentiles
      .slice(0, MAXIMUM_ROWS)
      .map(({ name, samples, median, p90, p99, highest }) => [
        name,
        ...[samples, median, p90, p99, highest].map(String),
      ]),
  };
}

function totalSection(report: Report): Section {
  return {
    heading: 'All callers',
    headings: ['asked', ...COUNT_HEADINGS, 'unfinished'],
    rows: [[String(report.asked), ...cellsOf(report.counts), String(report.unfinished)]],
  };
}

function outageSection(report: Report): Section {
  return {
    heading: 'Lost and regained',
    headings: ['from', 'for', 'lost', 'to a map in force', 'to nobody late', 'cause'],
    rows: report.outages.map((outage) => [
      outage.from,
      seconds(outage.milliseconds, 'to the end'),
      outage.matter,
      seconds(outage.toMapMilliseconds, '-'),
      seconds(outage.toCalmMilliseconds, '-'),
      outage.cause,
    ]),
  };
}

function momentSection(report: Report): Section {
  return {
    heading: 'Costliest moments',
    headings: ['from', 'late and twice lost', ...COUNT_HEADINGS, 'for `lapisbridge explain`'],
    rows: report.costliest.map(({ from, cost, counts, requestIds }) => [
      from,
      String(cost),
      ...cellsOf(counts),
      requestIds.join(' '),
    ]),
  };
}

function loadSection(report: Report): Section {
  return {
    heading: 'Requests in hand at the servers that were chosen',
    headings: ['server', 'sends', 'mean', 'most'],
    rows: report.serverLoads
      .slice(0, MAXIMUM_ROWS)
      .map(({ name, sends, meanOutstanding, mostOutstanding }) => [
        name,
        String(sends),
        meanOutstanding.toFixed(1),
        String(mostOutstanding),
      ]),
  };
}

export function listSections(report: Report): readonly Section[] {
  return [
    totalSection(report),
    momentSection(report),
    outageSection(report),
    countedSection('By cause of no answer, or a late one', 'cause', report.causes),
    countedSection('By availability zone', 'zone', report.zones),
    countedSection('By route', 'route', report.routes),
    countedSection('By client account', 'account', report.accounts),
    countedSection('By backend server that answered', 'server', report.servers),
    loadSection(report),
    percentileSection('First event, in milliseconds', report.firstEvents),
    percentileSection('Longest pause of a stream, in milliseconds', report.pauses),
  ];
}

/** One line on where the figures come from. */
export function describeSource({ from, to, lines, skipped }: Report): string {
  const span = from === undefined ? 'no line in the span asked for' : `${from} to ${to}`;
  return `${span}; ${lines} lines read, ${skipped} that are no log lines skipped.`;
}
