/**
 * Chooses a backend server for one request among those whose sidecars this entry is connected to.
 * Pure: the caller passes what it knows of the servers and a source of randomness, and gets a
 * decision with its reasons.
 */
import { ChoiceRule } from '@lapisbridge/types';
import type { LoadReport } from '@lapisbridge/types';

import { rendezvousWeight } from './rendezvous.js';

/**
 * What an entry knows of one backend server. Reports lag, and `changeSinceReport` corrects them.
 */
export interface Candidate {
  readonly instanceId: string;
  readonly availabilityZone: string;
  readonly load: LoadReport;
  /** Change in this entry's own requests at the server since the report; it may be negative. */
  readonly changeSinceReport: number;
}

export interface ChoicePolicy {
  readonly choiceRule: ChoiceRule;
  readonly hopCostMilliseconds: number;
  readonly boundedLoadFactor: number;
  readonly sampledChoices: number;
}

export interface ChoiceInput {
  readonly candidates: readonly Candidate[];
  readonly ownZone: string;
  /** Leading part of the prompt; an empty key turns affinity off. */
  readonly affinityKey: string;
  readonly estimatedTokens: number;
  /** Instance ids of the servers that this request has already tried. */
  readonly excluded: ReadonlySet<string>;
  readonly policy: ChoicePolicy;
  /** Zone whose servers are avoided while others have capacity; empty for none. */
  readonly avoidedZone: string;
  /** Number of choices that this entry has made, for round robin. */
  readonly roundRobinIndex: number;
  /** Uniform in [0, 1). */
  readonly random: () => number;
}

export enum ChoiceKind {
  Chosen = 'chosen',
  NoneLeft = 'noneLeft',
}

export enum ChoiceReason {
  PrefixAffinity = 'prefixAffinity',
  LeastEstimatedTime = 'leastEstimatedTime',
  LeastOutstanding = 'leastOutstanding',
  RoundRobin = 'inTurn',
}

export interface CandidateScore {
  readonly instanceId: string;
  readonly estimatedMilliseconds: number;
  readonly occupancy: number;
}

export type Choice =
  | {
      readonly kind: ChoiceKind.Chosen;
      readonly candidate: Candidate;
      readonly reason: ChoiceReason;
      readonly scores: readonly CandidateScore[];
    }
  | { readonly kind: ChoiceKind.NoneLeft; readonly tried: number };

/**
 * Affinity is not followed to a server that is more than this many times slower than the fastest.
 */
const MAXIMUM_AFFINITY_SLOWDOWN = 2;

/** Smallest known step time; 1 ms when none is known, so that loads can still be compared. */
function findFastestStepMilliseconds(candidates: readonly Candidate[]): number {
  let fastest = Infinity;
  for (const { load } of candidates) {
    if (load.stepMilliseconds > 0) fastest = Math.min(fastest, load.stepMilliseconds);
  }
  return fastest === Infinity ? 1 : fastest;
}

/** Share of the server's concurrency limit in use; above 1 when requests are queued there. */
export function occupancyOf(candidate: Candidate): number {
  const { running, queued, limit } = candidate.load;
  return (running + queued + candidate.changeSinceReport) / Math.max(1, limit);
}

/** Share of its limit above which a server is likely to make a request wait. */
const NEARLY_FULL_OCCUPANCY = 0.8;

/**
 * Estimated milliseconds until the last token. Well below its limit a server makes a request wait
 * for nothing but decoding; above it, each full set of requests ahead adds the time of one answer.
 * Other entries choose at the same time, so waiting is counted from slightly below the limit.
 */
export function estimateMilliseconds(
  candidate: Candidate,
  input: ChoiceInput,
  fastestStepMilliseconds: number,
): number {
  // A server of unknown speed counts as the fastest, so that it gets requests to be measured by.
  const stepMilliseconds = candidate.load.stepMilliseconds || fastestStepMilliseconds;
  const decodeMilliseconds = stepMilliseconds * Math.max(1, input.estimatedTokens);
  const occupancy = occupancyOf(candidate);
  const waitMilliseconds =
    Math.max(0, occupancy + occupancyPerRequest(candidate) - NEARLY_FULL_OCCUPANCY) *
    decodeMilliseconds;
  const contentionMilliseconds = Math.min(1, occupancy) * stepMilliseconds;
  const hopMilliseconds =
    candidate.availabilityZone === input.ownZone ? 0 : input.policy.hopCostMilliseconds;
  return decodeMilliseconds + waitMilliseconds + contentionMilliseconds + hopMilliseconds;
}

/** Share of the server's limit that one request takes. */
function occupancyPerRequest({ load }: Candidate): number {
  return 1 / Math.max(1, load.limit);
}

/** The server that rendezvous hashing assigns to the key. */
function findAffinityCandidate(
  candidates: readonly Candidate[],
  affinityKey: string,
): Candidate | undefined {
  let best: Candidate | undefined;
  let bestWeight = -1;
  for (const candidate of candidates) {
    const weight = rendezvousWeight(affinityKey, candidate.instanceId);
    if (weight > bestWeight) {
      best = candidate;
      bestWeight = weight;
    }
  }
  return best;
}

/** Consistent hashing with bounded loads: affinity is dropped above a multiple of the mean load. */
function isWithinBoundedLoad(
  preferred: Candidate,
  candidates: readonly Candidate[],
  factor: number,
  fastestStepMilliseconds: number,
): boolean {
  let sum = 0;
  for (const candidate of candidates) sum += occupancyOf(candidate);
  const mean = sum / candidates.length;
  const isFastEnough =
    preferred.load.stepMilliseconds <= fastestStepMilliseconds * MAXIMUM_AFFINITY_SLOWDOWN;
  const requestOccupancy = occupancyPerRequest(preferred);
  const hasCapacity =
    occupancyOf(preferred) + requestOccupancy <= Math.min(1, mean * factor + requestOccupancy * 2);
  return isFastEnough && hasCapacity;
}

function sample(
  candidates: readonly Candidate[],
  count: number,
  random: () => number,
): readonly Candidate[] {
  if (candidates.length <= count) return candidates;
  const pool = [...candidates];
  const taken: Candidate[] = [];
  while (taken.length < count) {
    const index = Math.floor(random() * pool.length);
    const [picked] = pool.splice(index, 1);
    if (picked !== undefined) taken.push(picked);
  }
  return taken;
}

function scoreOf(
  candidate: Candidate,
  input: ChoiceInput,
  fastestStepMilliseconds: number,
): CandidateScore {
  return {
    instanceId: candidate.instanceId,
    estimatedMilliseconds: estimateMilliseconds(candidate, input, fastestStepMilliseconds),
    occupancy: occupancyOf(candidate),
  };
}

function chooseEstimated(available: readonly Candidate[], input: ChoiceInput): Choice {
  const { policy } = input;
  const fastestStepMilliseconds = findFastestStepMilliseconds(available);
  if (input.affinityKey !== '') {
    const preferred = findAffinityCandidate(available, input.affinityKey);
    if (
      preferred !== undefined &&
      isWithinBoundedLoad(preferred, available, policy.boundedLoadFactor, fastestStepMilliseconds)
    ) {
      return {
        kind: ChoiceKind.Chosen,
        candidate: preferred,
        reason: ChoiceReason.PrefixAffinity,
        scores: [scoreOf(preferred, input, fastestStepMilliseconds)],
      };
    }
  }
  const sampled = sample(available, policy.sampledChoices, input.random);
  const scores = sampled.map((candidate) => scoreOf(candidate, input, fastestStepMilliseconds));
  const best = indexOfSmallest(
    scores.map(({ estimatedMilliseconds }) => estimatedMilliseconds),
    input.random,
  );
  return {
    kind: ChoiceKind.Chosen,
    candidate: sampled[best],
    reason: ChoiceReason.LeastEstimatedTime,
    scores,
  };
}

/**
 * Breaks ties at random: entries that all took the first would send their requests to one server.
 */
function indexOfSmallest(values: readonly number[], random: () => number): number {
  const start = Math.floor(random() * values.length);
  let smallest = start;
  for (let step = 1; step < values.length; step += 1) {
    const index = (start + step) % values.length;
    if ((values[index] ?? Infinity) < (values[smallest] ?? Infinity)) smallest = index;
  }
  return smallest;
}

function chooseLeastOutstanding(available: readonly Candidate[], input: ChoiceInput): Choice {
  const outstanding = available.map(
    ({ load, changeSinceReport }) => load.running + load.queued + changeSinceReport,
  );
  const candidate = available[indexOfSmallest(outstanding, input.random)];
  const reason = ChoiceReason.LeastOutstanding;
  return { kind: ChoiceKind.Chosen, candidate, reason, scores: [] };
}

function chooseRoundRobin(available: readonly Candidate[], input: ChoiceInput): Choice {
  const candidate = available[input.roundRobinIndex % available.length];
  return { kind: ChoiceKind.Chosen, candidate, reason: ChoiceReason.RoundRobin, scores: [] };
}

/**
 * Prefers servers outside a zone while one there has capacity. A streamed answer survives the loss
 * of its entry or of its sidecar, but not of both, so they should not be in the same zone.
 */
function preferOtherZones(
  available: readonly Candidate[],
  avoidedZone: string,
): readonly Candidate[] {
  if (avoidedZone === '') return available;
  const outside = available.filter(
    (candidate) =>
      candidate.availabilityZone !== avoidedZone &&
      occupancyOf(candidate) + occupancyPerRequest(candidate) <= NEARLY_FULL_OCCUPANCY,
  );
  return outside.length > 0 ? outside : available;
}

/** Returns `NoneLeft` when every candidate has been tried. */
export function planChoice(input: ChoiceInput): Choice {
  const { candidates, excluded, policy } = input;
  const available = candidates.filter((candidate) => !excluded.has(candidate.instanceId));
  if (available.length === 0) return { kind: ChoiceKind.NoneLeft, tried: excluded.size };
  switch (policy.choiceRule) {
    case ChoiceRule.Estimated:
      return chooseEstimated(preferOtherZones(available, input.avoidedZone), input);
    case ChoiceRule.LeastOutstanding:
      return chooseLeastOutstanding(available, input);
    case ChoiceRule.RoundRobin:
      return chooseRoundRobin(available, input);
    default: {
      const unreachable: never = policy.choiceRule;
      throw new Error(String(unreachable));
    }
  }
}
