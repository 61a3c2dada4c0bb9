/**
 * How requests ended, as far as one line of a log tells, and counters of such ends.
 */
import type { LogLine } from '@lapisbridge/log-story';

/** The end of one attempt of a caller. */
export enum EndClass {
  /** Answered at the caller's first try, as soon as hoped for. */
  InTime = 'inTime',
  /** Answered later, or after the caller had come back. */
  Late = 'late',
  /** Told at the first try to come back. */
  Refused = 'refused',
  /** Refused once more after having come back: such a caller is lost. */
  RefusedAgain = 'refusedAgain',
  /** A failure that the backend server stands by was passed on. */
  ServerError = 'serverError',
  /** Given up by the entry, and may have run. */
  Failed = 'failed',
  /** The caller left first. */
  Gone = 'gone',
  /** Not a proper request: no known key or route. */
  Improper = 'improper',
}

export type EndCounts = Record<EndClass, number>;

/** One end, with what it is counted by. */
export interface RequestEnd {
  readonly requestId: string;
  /** When the request arrived at its entry, in milliseconds since 1970. */
  readonly at: number;
  readonly end: EndClass;
  readonly isRetry: boolean;
  readonly availabilityZone: string;
  readonly route: string;
  readonly clientAccount: string;
  /** The backend server that answered; undefined where none did. */
  readonly backendServer: string | undefined;
  /** Why there was no answer, or a late one; undefined for others. */
  readonly cause: string | undefined;
  /** Milliseconds; undefined where there was none. */
  readonly firstEvent: number | undefined;
  readonly longestPause: number | undefined;
}

const NOT_TOLD = 'not told';
const FIRST_ERROR_STATUS = 400;
/** Statuses of improper requests, as refusals name them. */
const IMPROPER: ReadonlySet<string> = new Set(['400', '401', '404', '413']);

export function emptyCounts(): EndCounts {
  return {
    [EndClass.InTime]: 0,
    [EndClass.Late]: 0,
    [EndClass.Refused]: 0,
    [EndClass.RefusedAgain]: 0,
    [EndClass.ServerError]: 0,
    [EndClass.Failed]: 0,
    [EndClass.Gone]: 0,
    [EndClass.Improper]: 0,
  };
}

function numberIn(value: unknown): number | undefined {
  return typeof value === 'number' ? value : undefined;
}

function textIn(value: unknown): string {
  return typeof value === 'string' && value !== '' ? value : NOT_TOLD;
}

/** Logs of earlier versions call a retry `hasComeBack`. */
function isRetryIn(facts: LogLine['facts']): boolean {
  return facts?.isRetry === true || facts?.hasComeBack === true;
}

/** Undefined for lines that end no request. */
function classOf({ kind, choice, facts }: LogLine): EndClass | undefined {
  const isRetry = isRetryIn(facts);
  switch (kind) {
    case 'answer': {
      if ((numberIn(facts?.status) ?? 0) >= FIRST_ERROR_STATUS) return EndClass.ServerError;
      return facts?.isOnTime === true && !isRetry ? EndClass.InTime : EndClass.Late;
    }
    case 'refusal':
      if (IMPROPER.has(choice ?? '')) return EndClass.Improper;
      return isRetry ? EndClass.RefusedAgain : EndClass.Refused;
    case 'failure':
      return EndClass.Failed;
    case 'gone':
      return EndClass.Gone;
    default:
      return undefined;
  }
}

/** Why an answer was late; logs of earlier versions do not tell. */
function lateCauseOf(end: EndClass, facts: NonNullable<LogLine['facts']>): string | undefined {
  if (end !== EndClass.Late) return undefined;
  return `late: ${isRetryIn(facts) ? 'retry' : textIn(facts.lateCause)}`;
}

/** Reads how a request ended; undefined for lines that end none. */
export function readEnd(line: LogLine): RequestEnd | undefined {
  const end = classOf(line);
  if (end === undefined || line.subject === undefined) return undefined;
  const facts = line.facts ?? {};
  const isAnswer = line.kind === 'answer';
  return {
    requestId: line.subject,
    at: line.at - (numberIn(facts.milliseconds) ?? 0),
    end,
    isRetry: isRetryIn(facts),
    availabilityZone: textIn(line.availabilityZone),
    route: textIn(facts.route),
    clientAccount: textIn(facts.account),
    backendServer: isAnswer ? textIn(line.choice) : undefined,
    cause: isAnswer ? lateCauseOf(end, facts) : `${line.kind}: ${textIn(line.choice)}`,
    firstEvent: numberIn(facts.firstEvent),
    longestPause: numberIn(facts.longestPause),
  };
}
