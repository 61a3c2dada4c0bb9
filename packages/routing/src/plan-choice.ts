/**
 * Chooses a backend server for one request. Pure: the caller passes what it knows and a
 * source of randomness, and gets a decision with its reasons.
 */
import { ChoiceRule } from '@lapisbridge/types';
import type { LoadReport } from '@lapisbridge/types';

import { rendezvousWeight } from './rendezvous.js';

/** What an entry knows of one backend server. Reports lag; `changeSinceReport` corrects them. */
export interface Candidate {
  readonly instanceId: string;
  readonly availabilityZone: string;
  readonly load: LoadReport;
  /** How many more requests of this entry are there now than at the report; it may be negative. */
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
  /** Leading part of the prompt; empty turns affinity off. */
  readonly affinityKey: string;
  readonly estimatedTokens: number;
  /** Servers that this request has already tried. */
  readonly excluded: ReadonlySet<string>;
  readonly policy: ChoicePolicy;
  /** Zone whose servers are avoided while others have room; empty for none. */
  readonly avoidedZone: string;
  /** Number of the choice at this entry, for choosing in turn. */
  readonly roundRobinIndex: number;
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

/** Affinity is not worth a server this many times slower than the fastest. */
const MAXIMUM_AFFINITY_SLOWDOWN = 2;

/** Smallest known step time; 1 ms when none is known, so that loads still compare. */
function findFastestStepMilliseconds(candidates: readonly Candidate[]): number {
  let fastest = Infinity;
  for (const { load } of candidates) {
    if (load.stepMilliseconds > 0) fastest = Math.min(fastest, load.stepMilliseconds);
  }
  return fastest === Infinity ? 1 : fastest;
}

/** Share of the server's limit in use, above 1 when requests queue there. */
export function occupancyOf(candidate: Candidate): number {
  const { running, queued, limit } = candidate.load;
  return (running + queued + candidate.changeSinceReport) / Math.max(1, limit);
}

/** Share of its limit from which a server counts as likely to make a request wait. */
const NEARLY_FULL_OCCUPANCY = 0.8;

/**
 * Estimated milliseconds until the last token. Well below its limit a server only decodes;
 * above it, each whole limit's worth of requests ahead adds one answer's time. Other entries
 * choose at the same moment, so the wait counts in from a little below the limit.
 */
export function estimateMilliseconds(
  candidate: Candidate,
  input: ChoiceInput,
  fastestStepMilliseconds: number,
): number {
  // A server of unknown speed counts as the fastest, so that it gets the work that shows its speed.
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

/** Share of its limit that one request takes. */
function occupancyPerRequest({ load }: Candidate): number {
  return 1 / Math.max(1, load.limit);
}

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

/** Affinity may not overload its favourite: it yields above a multiple of the mean load. */
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

/** Ties go to a random one: entries that all took the first would send their requests together. */
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
 * A streamed answer survives the loss of its entry or of its sidecar, and not of both at once.
 * So its sidecar is taken from another zone than the entry's while one there has room.
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
