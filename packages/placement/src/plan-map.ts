/**
 * Plans the next expert map from the one in force: a greedy local search makes a few moves that
 * relieve the slowest rank, and the result is used only if it gains more over the horizon than the
 * moves cost.
 */
import { predictRankTimes, skewOf } from './expert-map.js';
import type { ExpertLoad, ExpertMap } from './expert-map.js';
import {
  addReplica,
  chooseEviction,
  recomputeRankTimes,
  removeReplica,
  slowestRank,
  toDraft,
  toMap,
} from './map-draft.js';
import type { Eviction, MapDraft } from './map-draft.js';
import { INITIAL_THRESHOLD_FACTOR } from './plan-threshold-factor.js';

export interface MapPolicy {
  /** Experts that one rank can hold. */
  readonly slotsPerRank: number;
  readonly maximumMoves: number;
  /** Steps over which a new map has to recover its cost. */
  readonly horizonSteps: number;
  /** Relative reduction of the step time below which the map is kept. */
  readonly minimumGain: number;
  /** Time that the group stalls for each moved expert, in steps. */
  readonly moveCostSteps: number;
  /** Experts that each rank may load for one new map; unlimited when undefined. */
  readonly maximumNewExpertsByRank?: readonly number[];
  /** Skew at which the search ends, because further moves would cost more than they gain. */
  readonly targetSkew?: number;
}

export enum MapDecisionKind {
  Keep = 'keep',
  Change = 'change',
}

export interface MapDecision {
  readonly kind: MapDecisionKind;
  readonly map: ExpertMap;
  readonly moves: number;
  readonly skewBefore: number;
  readonly skewAfter: number;
  readonly reason: string;
}

/** Adds an expert to a rank. It is moved or replicated, and may evict a replica there. */
interface Move {
  readonly expert: number;
  readonly to: number;
  /** Rank that the expert is removed from; undefined when it stays there as a replica. */
  readonly from: number | undefined;
  /** Expert that the receiving rank gives up to free a slot. */
  readonly evicted: number | undefined;
  /** Time of the slowest affected rank after the move. */
  readonly slowestTime: number;
  /** Time of the receiving rank after the move. */
  readonly toTime: number;
}

/**
 * Moving or replicating one expert to one rank, whichever is faster; undefined when the rank
 * already holds the expert or would evict it.
 */
function evaluateMove(
  draft: MapDraft,
  load: ExpertLoad,
  from: number,
  to: number,
  expert: number,
  eviction: Eviction | undefined,
): Move | undefined {
  if (draft.expertsByRank[to]?.has(expert) === true || eviction?.expert === expert)
    return undefined;
  const tokens = load.tokens[expert] ?? 0;
  const replicas = draft.replicaCounts[expert] ?? 1;
  const fromSpeed = load.speeds[from] ?? 1;
  const toSpeed = load.speeds[to] ?? 1;
  const share = tokens / replicas;
  const replicatedShare = tokens / (replicas + 1);
  const toTimeAfterEviction = (draft.rankTimes[to] ?? 0) - (eviction?.share ?? 0) / toSpeed;
  const fromTime = draft.rankTimes[from] ?? 0;
  const evictedHolderTime = eviction?.slowestHolderTime ?? 0;
  const toTimeIfReplicated = toTimeAfterEviction + replicatedShare / toSpeed;
  const toTimeIfMoved = toTimeAfterEviction + share / toSpeed;
  const slowestIfReplicated = Math.max(
    fromTime - (share - replicatedShare) / fromSpeed,
    toTimeIfReplicated,
    evictedHolderTime,
  );
  const slowestIfMoved = Math.max(fromTime - share / fromSpeed, toTimeIfMoved, evictedHolderTime);
  const isReplicated = slowestIfReplicated <= slowestIfMoved;
  return {
    expert,
    to,
    from: isReplicated ? undefined : from,
    evicted: eviction?.expert,
    slowestTime: Math.min(slowestIfReplicated, slowestIfMoved),
    toTime: isReplicated ? toTimeIfReplicated : toTimeIfMoved,
  };
}

/**
 * Ties go to the least loaded receiver, so that free slots are used before replicas are evicted.
 */
function isBetterMove(move: Move, best: Move | undefined): boolean {
  if (best === undefined) return true;
  if (move.slowestTime !== best.slowestTime) return move.slowestTime < best.slowestTime;
  return move.toTime < best.toTime;
}

/** A swap of two experts between two ranks, which also works when both are full; two moves. */
interface Swap {
  readonly outgoing: number;
  readonly incoming: number;
  readonly otherRank: number;
  readonly slowestTime: number;
}

/** Whether a rank may receive an expert: it held it before, or is below its limit of new ones. */
type CanReceive = (rank: number, expert: number) => boolean;

/** Creates the check for the current state of the draft. */
type CreateCanReceive = () => CanReceive;

/** Limits the experts that each rank has to load compared with the map in force. */
function limitNewExperts(current: ExpertMap, draft: MapDraft, policy: MapPolicy): CreateCanReceive {
  const { maximumNewExpertsByRank } = policy;
  if (maximumNewExpertsByRank === undefined) return () => () => true;
  const before = current.experts.map((experts) => new Set(experts));
  return () => {
    // Counted once for each move rather than in each of the thousands of checks that follow.
    const isAtLimit = draft.expertsByRank.map((held, rank) => {
      let newExperts = 0;
      for (const expert of held) if (before[rank]?.has(expert) !== true) newExperts += 1;
      return newExperts >= (maximumNewExpertsByRank[rank] ?? 0);
    });
    return (rank, expert) => isAtLimit[rank] !== true || before[rank]?.has(expert) === true;
  };
}

function findBestMove(
  draft: MapDraft,
  load: ExpertLoad,
  policy: MapPolicy,
  from: number,
  canReceive: CanReceive,
): Move | undefined {
  let best: Move | undefined;
  for (const [to, target] of draft.expertsByRank.entries()) {
    if (to === from || (draft.rankTimes[to] ?? 0) >= (draft.rankTimes[from] ?? 0)) continue;
    const isFull = target.size >= policy.slotsPerRank;
    const eviction = isFull ? chooseEviction(draft, load, to) : undefined;
    if (isFull && eviction === undefined) continue;
    for (const expert of draft.expertsByRank[from] ?? []) {
      if (!canReceive(to, expert)) continue;
      const move = evaluateMove(draft, load, from, to, expert, eviction);
      if (move !== undefined && isBetterMove(move, best)) best = move;
    }
  }
  return best;
}

function findBestSwap(
  draft: MapDraft,
  load: ExpertLoad,
  from: number,
  canReceive: CanReceive,
): Swap | undefined {
  let best: Swap | undefined;
  const fromSpeed = load.speeds[from] ?? 1;
  for (const outgoing of draft.expertsByRank[from] ?? []) {
    const outgoingShare = (load.tokens[outgoing] ?? 0) / (draft.replicaCounts[outgoing] ?? 1);
    for (const [otherRank, held] of draft.expertsByRank.entries()) {
      if (otherRank === from || held.has(outgoing) || !canReceive(otherRank, outgoing)) continue;
      const otherSpeed = load.speeds[otherRank] ?? 1;
      for (const incoming of held) {
        if (draft.expertsByRank[from]?.has(incoming) === true || !canReceive(from, incoming))
          continue;
        const incomingShare = (load.tokens[incoming] ?? 0) / (draft.replicaCounts[incoming] ?? 1);
        const difference = outgoingShare - incomingShare;
        const slowestTime = Math.max(
          (draft.rankTimes[from] ?? 0) - difference / fromSpeed,
          (draft.rankTimes[otherRank] ?? 0) + difference / otherSpeed,
        );
        if (best === undefined || slowestTime < best.slowestTime) {
          best = { outgoing, incoming, otherRank, slowestTime };
        }
      }
    }
  }
  return best;
}

function applyMove(draft: MapDraft, move: Move): void {
  if (move.evicted !== undefined) removeReplica(draft, move.to, move.evicted);
  addReplica(draft, move.to, move.expert);
  if (move.from !== undefined) removeReplica(draft, move.from, move.expert);
}

function applySwap(draft: MapDraft, from: number, swap: Swap): void {
  removeReplica(draft, from, swap.outgoing);
  removeReplica(draft, swap.otherRank, swap.incoming);
  addReplica(draft, from, swap.incoming);
  addReplica(draft, swap.otherRank, swap.outgoing);
}

/**
 * Relieves the slowest rank until no move helps, the target skew is reached or the moves are used
 * up. Returns the number of moves made.
 */
function rebalance(
  draft: MapDraft,
  load: ExpertLoad,
  policy: MapPolicy,
  createCanReceive: CreateCanReceive,
): number {
  let moves = 0;
  while (moves < policy.maximumMoves) {
    const canReceive = createCanReceive();
    const from = slowestRank(draft.rankTimes);
    const currentSlowestTime = draft.rankTimes[from] ?? 0;
    if (policy.targetSkew !== undefined && skewOf(draft.rankTimes) <= policy.targetSkew)
      return moves;
    const move = findBestMove(draft, load, policy, from, canReceive);
    const hasMovesForSwap = policy.maximumMoves - moves >= 2;
    const swap = hasMovesForSwap ? findBestSwap(draft, load, from, canReceive) : undefined;
    // A swap loads two experts, so it has to gain more than twice as much as a single move.
    const isSwapBetter =
      swap !== undefined &&
      currentSlowestTime - swap.slowestTime >
        2 * (currentSlowestTime - (move?.slowestTime ?? currentSlowestTime));
    if (isSwapBetter && swap.slowestTime < currentSlowestTime) {
      applySwap(draft, from, swap);
      moves += 2;
    } else if (move !== undefined && move.slowestTime < currentSlowestTime) {
      applyMove(draft, move);
      moves += 1;
    } else {
      return moves;
    }
    recomputeRankTimes(draft, load);
  }
  return moves;
}

/** `thresholdFactor` multiplies the gain that a change needs; see `planThresholdFactor`. */
export function planMap(
  current: ExpertMap,
  load: ExpertLoad,
  policy: MapPolicy,
  thresholdFactor = INITIAL_THRESHOLD_FACTOR,
): MapDecision {
  const draft = toDraft(current, load);
  const skewBefore = skewOf(draft.rankTimes);
  const slowestTimeBefore = Math.max(...draft.rankTimes);
  const keepCurrent = (reason: string): MapDecision => ({
    kind: MapDecisionKind.Keep,
    map: current,
    moves: 0,
    skewBefore,
    skewAfter: skewBefore,
    reason,
  });
  const moves = rebalance(draft, load, policy, limitNewExperts(current, draft, policy));
  if (moves === 0) return keepCurrent('no move relieves the slowest rank');
  const slowestTimeAfter = Math.max(...draft.rankTimes);
  const gain = (slowestTimeBefore - slowestTimeAfter) / slowestTimeBefore;
  if (gain < policy.minimumGain * thresholdFactor)
    return keepCurrent(`gain of ${gain.toFixed(3)} is below the minimum`);
  const gainedSteps = gain * policy.horizonSteps;
  const costSteps = moves * policy.moveCostSteps * thresholdFactor;
  if (gainedSteps <= costSteps) return keepCurrent(`${moves} moves cost more than they gain`);
  const map = toMap(draft);
  return {
    kind: MapDecisionKind.Change,
    map,
    moves,
    skewBefore,
    skewAfter: skewOf(predictRankTimes(map, load)),
    reason: `gains ${gainedSteps.toFixed(0)} steps at a cost of ${costSteps.toFixed(0)}`,
  };
}
