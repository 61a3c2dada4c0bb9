/**
 * A time line of what processes lost and regained, with the requests that went wrong at the
 * instances concerned meanwhile. Lines of many instances on one matter become one period.
 */
import type { LogLine } from './read-log-lines.js';

export interface Period {
  readonly matter: string;
  readonly from: string;
  /** Undefined while it lasted to the end of the logs. */
  readonly milliseconds: number | undefined;
  readonly instances: readonly string[];
  readonly cause: string;
  readonly refused: number;
  readonly failed: number;
  /** Ids of some of the requests that were refused or failed, for `explain`. */
  readonly examples: readonly string[];
}

export interface Timeline {
  readonly periods: readonly Period[];
  readonly requests: number;
  readonly answered: number;
  /** Improper requests: without an id, a known key or a route, or too large. No fault of ours. */
  readonly improper: number;
  readonly refused: number;
  readonly failed: number;
  /** Requests that were refused or failed while nothing was lost at their instance. */
  readonly unexplained: number;
  readonly unexplainedExamples: readonly string[];
}

/** Losses of one matter that begin within this time of each other have one cause. */
const TOGETHER_MILLISECONDS = 3000;
const MAXIMUM_EXAMPLES = 3;

/** Statuses of improper requests, as refusals name them. */
const IMPROPER: ReadonlySet<string> = new Set(['400', '401', '404', '413']);

/** A time for which something was lost, with the instances that told of it. */
export interface LossPeriod {
  readonly matter: string;
  /** Milliseconds since 1970. */
  readonly fromAt: number;
  readonly from: string;
  readonly cause: string;
  until: number | undefined;
  readonly instances: Set<string>;
  readonly awaited: Set<string>;
}

interface Change {
  readonly matter: string;
  readonly begins: boolean;
  readonly cause: string;
  /** Known in advance where the line says how long it lasts. */
  readonly lastsMilliseconds?: number;
}

function describeQuarantine({ servers, source }: LogLine['fields']): string {
  return servers === undefined
    ? `reported by ${String(source)}`
    : `servers ended: ${String(servers)}`;
}

function describeSuspects(suspects: unknown): string {
  return suspects === '' ? 'no prompt part under suspicion' : `suspects ${String(suspects)}`;
}

/** What begins or ends with a line; undefined for other lines. */
function changeOf(line: LogLine): Change | undefined {
  const { event, fields, instance } = line;
  const cause = String(fields.cause ?? fields.reason ?? '');
  switch (event) {
    case 'store lost':
    case 'store regained':
      return { matter: 'store', begins: event === 'store lost', cause };
    case 'group lost':
    case 'group regained':
      return { matter: `group ${String(fields.group)}`, begins: event === 'group lost', cause };
    case 'backend server silent':
    case 'backend server heard again':
    case 'silent backend server removed':
    case 'silent backend server still listed':
      return {
        matter: `backend server ${String(fields.server)}`,
        begins: event === 'backend server silent',
        cause: 'no sign of life while others of its service give some',
      };
    case 'server rate limit':
      return {
        matter: `rate limit of ${String(fields.server)}`,
        begins: fields.requestsPerSecond !== 'none',
        cause: `${String(fields.requestsPerSecond)} requests a second`,
      };
    case 'server leaving':
    case 'leaving server gone':
      return {
        matter: `departure of ${String(fields.server)}`,
        begins: event === 'server leaving',
        cause: 'the server said so in an answer',
      };
    case 'backend server ended':
      return {
        matter: `end of ${String(fields.server)}`,
        begins: true,
        cause: `${String(fields.evidence)}, ${describeSuspects(fields.suspects)}`,
        lastsMilliseconds: 0,
      };
    case 'prompt part quarantined':
    case 'prompt part released':
      return {
        matter: `quarantine of prompt part ${String(fields.part)}`,
        begins: event === 'prompt part quarantined',
        cause: describeQuarantine(fields),
      };
    case 'request quarantined':
    case 'request released':
      return {
        matter: `quarantine of request ${String(fields.request)}`,
        begins: event === 'request quarantined',
        cause: describeQuarantine(fields),
      };
    case 'server backoff':
      return {
        matter: `backoff of ${String(fields.server)}`,
        begins: true,
        cause: `the server asked for ${String(fields.milliseconds)} ms without requests`,
        lastsMilliseconds: Number(fields.milliseconds) || 0,
      };
    case 'stopping':
      return { matter: `process ${instance}`, begins: true, cause: 'asked to stop' };
    case 'started':
      return { matter: `process ${instance}`, begins: false, cause };
    default:
      return undefined;
  }
}

/** Whether a line tells that something was lost or regained. */
export function isChange(line: LogLine): boolean {
  return changeOf(line) !== undefined;
}

/** The instance has what was lost again, or a process there that never lost it. */
function endAt(period: LossPeriod, { instance, at }: LogLine): void {
  const wasLast = period.awaited.delete(instance) && period.awaited.size === 0;
  if (wasLast) period.until = at;
}

/** `lines` are in order of time. */
export function collectPeriods(lines: readonly LogLine[]): LossPeriod[] {
  const periods: LossPeriod[] = [];
  for (const line of lines) {
    if (line.event === 'started') {
      for (const period of periods) endAt(period, line);
    }
    const change = changeOf(line);
    if (change === undefined) continue;
    const { matter, begins, cause, lastsMilliseconds } = change;
    const current = periods.findLast((period) => period.matter === matter);
    if (begins) {
      const isSame =
        current !== undefined &&
        (current.awaited.size > 0 || line.at - current.fromAt < TOGETHER_MILLISECONDS);
      const endsAt = lastsMilliseconds === undefined ? undefined : line.at + lastsMilliseconds;
      const period = isSame
        ? current
        : {
            matter,
            fromAt: line.at,
            from: line.time,
            cause,
            until: undefined,
            instances: new Set<string>(),
            awaited: new Set<string>(),
          };
      if (!isSame) periods.push(period);
      period.instances.add(line.instance);
      if (endsAt === undefined) {
        period.awaited.add(line.instance);
        period.until = undefined;
      } else period.until = Math.max(period.until ?? 0, endsAt);
    } else if (current !== undefined) endAt(current, line);
  }
  return periods;
}

/** The last decision about each request. */
function outcomesOf(lines: readonly LogLine[]): Map<string, LogLine> {
  const outcomes = new Map<string, LogLine>();
  for (const line of lines) {
    const isOutcome = line.kind === 'answer' || line.kind === 'refusal' || line.kind === 'failure';
    if (isOutcome && line.subject !== undefined) outcomes.set(line.subject, line);
  }
  return outcomes;
}

function touches(period: LossPeriod, line: LogLine): boolean {
  if (!period.instances.has(line.instance) || line.at < period.fromAt) return false;
  return period.until === undefined || line.at <= period.until;
}

/** `lines` are in order of time. */
export function drawTimeline(lines: readonly LogLine[]): Timeline {
  const periods = collectPeriods(lines);
  const outcomes = [...outcomesOf(lines)];
  const proper = outcomes.filter(([, { choice }]) => !IMPROPER.has(choice ?? ''));
  const wrong = proper.filter(([, { kind }]) => kind !== 'answer');
  const unexplained = wrong.filter(([, line]) => !periods.some((one) => touches(one, line)));
  const count = (kind: string): number => proper.filter(([, line]) => line.kind === kind).length;
  return {
    periods: periods.map((period) => {
      const touched = wrong.filter(([, line]) => touches(period, line));
      const refused = touched.filter(([, { kind }]) => kind === 'refusal').length;
      return {
        matter: period.matter,
        from: period.from,
        milliseconds: period.until === undefined ? undefined : period.until - period.fromAt,
        instances: [...period.instances],
        cause: period.cause,
        refused,
        failed: touched.length - refused,
        examples: touched.slice(0, MAXIMUM_EXAMPLES).map(([id]) => id),
      };
    }),
    requests: outcomes.length,
    answered: count('answer'),
    improper: outcomes.length - proper.length,
    refused: count('refusal'),
    failed: count('failure'),
    unexplained: unexplained.length,
    unexplainedExamples: unexplained.slice(0, MAXIMUM_EXAMPLES).map(([id]) => id),
  };
}
