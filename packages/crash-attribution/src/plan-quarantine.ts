/**
 * Decides which prompt parts crash backend servers. Each crash takes a whole batch of requests with
 * it, so counting crashes would blame whatever most requests share. What separates the culprit from
 * them is that a request with it is never answered: a part that was in any request that a server
 * went on answering is cleared. Crashes at about the same time share the weight of one, the suspects
 * that remain of a crash share its part of that, and a part is blamed once its weights from several
 * times add up to one. Pure.
 */

import { blameEach, hasBlamedPart } from './crash.js';
import type { Blame, Crash, QuarantineInput } from './crash.js';

/**
 * Servers that end within this time count as one event: a power failure ends many at once, under
 * whatever they were reading.
 */
const EVENT_MILLISECONDS = 500;
const MINIMUM_EVENTS = 2;
const MINIMUM_WEIGHT = 1;
/** The same for parts that have only come together, so that one of them may be sound. */
const MINIMUM_TIED_WEIGHT = 2;
/** What an event without the part takes from its weight: there is another cause. */
const OTHER_EVENT_WEIGHT = 0.25;
/** Rounding must not decide whether thirds add up to one. */
const WEIGHT_TOLERANCE = 1e-9;
/** Age at which an event counts: other entries have reported it and cleared suspects of it. */
export const CLEARANCE_TIME_MILLISECONDS = 1000;

/** Crashes at about the same time, without those that are explained. */
interface CrashEvent {
  readonly startedAt: number;
  readonly crashes: { readonly server: string; readonly suspects: readonly string[] }[];
}

interface Evidence {
  readonly servers: string[];
  /** Events with a crash under the part. */
  events: number;
  /** Events since the first of these in which no crash was under the part. */
  otherEvents: number;
  weight: number;
}

/**
 * The crashes that no part explains, in order of time. The repeats of one request say no more about
 * its parts than its first crash does.
 */
function selectUnexplained(input: QuarantineInput, blamed: ReadonlySet<string>): Crash[] {
  const counted = new Set<string>();
  const sorted = [...input.crashes].sort((left, right) => left.endedAt - right.endedAt);
  return sorted.filter((crash) => {
    if (hasBlamedPart(crash, blamed)) return false;
    const repeated = [...crash.requests.keys()].filter((digest) => blamed.has(digest));
    const isCounted = repeated.some((digest) => counted.has(digest));
    for (const digest of repeated) counted.add(digest);
    return !isCounted;
  });
}

function groupByEvent(input: QuarantineInput, blamed: ReadonlySet<string>): CrashEvent[] {
  const events: CrashEvent[] = [];
  let event: CrashEvent | undefined;
  for (const crash of selectUnexplained(input, blamed)) {
    const { server, endedAt } = crash;
    const suspects = [...crash.suspects].filter((part) => !input.isCleared(part, crash));
    if (event === undefined || endedAt - event.startedAt > EVENT_MILLISECONDS) {
      event = { startedAt: endedAt, crashes: [] };
      events.push(event);
    }
    event.crashes.push({ server, suspects });
  }
  return events.filter(({ startedAt }) => input.now - startedAt >= CLEARANCE_TIME_MILLISECONDS);
}

function collectEvidence(events: readonly CrashEvent[]): Map<string, Evidence> {
  const evidence = new Map<string, Evidence>();
  for (const { crashes } of events) {
    const present = new Set<string>();
    for (const { server, suspects } of crashes) {
      for (const part of suspects) {
        const known = evidence.get(part) ?? {
          servers: [],
          events: 0,
          otherEvents: 0,
          weight: 0,
        };
        evidence.set(part, known);
        if (!present.has(part)) known.events += 1;
        present.add(part);
        known.servers.push(server);
        known.weight += 1 / (suspects.length * crashes.length);
      }
    }
    for (const [part, known] of evidence) if (!present.has(part)) known.otherEvents += 1;
  }
  return evidence;
}

/** The part with the most evidence, if it is enough; undefined otherwise. */
function findCulprit(evidence: ReadonlyMap<string, Evidence>): string | undefined {
  let culprit: string | undefined;
  let greatest = 0;
  let isTied = false;
  for (const [part, known] of evidence) {
    if (known.events < MINIMUM_EVENTS) continue;
    const weight = known.weight - known.otherEvents * OTHER_EVENT_WEIGHT;
    if (weight < greatest - WEIGHT_TOLERANCE) continue;
    isTied = weight <= greatest + WEIGHT_TOLERANCE;
    if (isTied) continue;
    culprit = part;
    greatest = weight;
  }
  const required = isTied ? MINIMUM_TIED_WEIGHT : MINIMUM_WEIGHT;
  return greatest < required - WEIGHT_TOLERANCE ? undefined : culprit;
}

/** Returns the parts to blame beyond those that already are. */
export function planQuarantine(input: QuarantineInput): Blame[] {
  return blameEach(input, (blamed) => {
    const evidence = collectEvidence(groupByEvent(input, blamed));
    const part = findCulprit(evidence);
    return part === undefined
      ? undefined
      : { cause: part, servers: evidence.get(part)?.servers ?? [] };
  });
}
