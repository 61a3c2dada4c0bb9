/**
 * Decides which requests end backend servers. A request is repeated by its caller and by entries,
 * so that one which ends its server reaches the next one within milliseconds: unlike with prompt
 * parts there is no time to wait for others to clear it. What separates it from requests that were
 * merely lost beside it, or that many callers send at a time, is that its attempts follow each
 * other: each was sent after a server had ended under one before. Pure.
 */
import { blameEach, hasBlamedPart } from './crash.js';
import type { Blame, Crash, QuarantineInput } from './crash.js';

/** Servers that may end under one request, whatever else ends. */
const MAXIMUM_CRASHES = 3;
/** The same if it alone was at every server that ended meanwhile. */
const MAXIMUM_CRASHES_OF_SUSPECT = 2;
/** Attempts at once are one generation: servers may end together under a popular request. */
const MINIMUM_GENERATIONS = 2;
/** Ends shortly before the first one of a request show that servers end without it. */
const MEANWHILE_MILLISECONDS = 2000;

/** The crashes under one request. */
interface Evidence {
  readonly crashes: Crash[];
  /** Highest generation of a lost attempt. */
  generation: number;
}

function collectEvidence({ crashes, isCleared }: QuarantineInput): Map<string, Evidence> {
  const evidence = new Map<string, Evidence>();
  for (const crash of crashes) {
    for (const [digest, generation] of crash.requests) {
      if (isCleared(digest, crash)) continue;
      const known = evidence.get(digest) ?? { crashes: [], generation: 0 };
      evidence.set(digest, known);
      known.crashes.push(crash);
      known.generation = Math.max(known.generation, generation);
    }
  }
  return evidence;
}

/** Whether another request was lost in the same crashes, so that either may be the cause. */
function isTied(
  digest: string,
  { crashes }: Evidence,
  evidence: ReadonlyMap<string, Evidence>,
): boolean {
  for (const other of evidence.keys()) {
    if (other !== digest && crashes.every(({ requests }) => requests.has(other))) return true;
  }
  return false;
}

function isExplained(crash: Crash, blamed: ReadonlySet<string>): boolean {
  if (hasBlamedPart(crash, blamed)) return true;
  for (const digest of crash.requests.keys()) if (blamed.has(digest)) return true;
  return false;
}

/** Whether the request was at every server that ended while its attempts were lost. */
function isAtEachCrash({ crashes }: Evidence, unexplained: readonly Crash[]): boolean {
  const times = crashes.map(({ endedAt }) => endedAt);
  const from = Math.min(...times) - MEANWHILE_MILLISECONDS;
  const to = Math.max(...times);
  const meanwhile = unexplained.filter(({ endedAt }) => endedAt >= from && endedAt <= to);
  return (
    meanwhile.length >= MAXIMUM_CRASHES_OF_SUSPECT &&
    meanwhile.every((crash) => crashes.includes(crash))
  );
}

/** Returns the requests to blame beyond those that already are. */
export function planRequestQuarantine(input: QuarantineInput): Blame[] {
  const evidence = collectEvidence(input);
  return blameEach(input, (blamed) => {
    const unexplained = input.crashes.filter((crash) => !isExplained(crash, blamed));
    for (const [digest, known] of evidence) {
      if (blamed.has(digest) || known.generation < MINIMUM_GENERATIONS) continue;
      const isCulprit =
        known.crashes.length >= MAXIMUM_CRASHES ||
        (isAtEachCrash(known, unexplained) && !isTied(digest, known, evidence));
      if (!isCulprit) continue;
      return { cause: digest, servers: known.crashes.map(({ server }) => server) };
    }
    return undefined;
  });
}
