/**
 * Plans the next expert map from the one in force: a few moves that take load off the slowest
 * rank, and only if what they gain over the horizon is worth what they cost.
 */
import { rankTimes, skewOf } from './expert-map.js';
import type { ExpertLoad, ExpertMap } from './expert-map.js';
import {
  addTo,
  planEviction,
  refreshTimes,
  removeFrom,
  slowestRank,
  toDraft,
  toMap,
} from './map-draft.js';
import type { Eviction, MapDraft } from './map-draft.js';
import { INITIAL_CAUTION } from './plan-caution.js';

export interface MapPolicy {
  readonly slotsPerRank: number;
  readonly maximumMoves: number;
  readonly horizonSteps: number;
  /** Relative gain below which the map is left alone. */
  readonly minimumGain: number;
  /** Stall that moving one expert costs, in steps. */
  readonly moveCostSteps: number;
  /** Experts that each rank can load for one new map; no bound when undefined. */
  readonly loadsByRank?: readonly number[];
  /** Skew at which the search ends, since further moves would cost more than they bring. */
  readonly fairSkew?: number;
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

/** One move: an expert comes to a rank; it may leave its old rank, or push another one out. */
interface Move {
  readonly expert: number;
  readonly to: number;
  /** Rank that gives the expert up; undefined when it stays there as a replica. */
  readonly from: number | undefined;
  /** Expert that leaves the receiving rank to make room. */
  readonly evicted: number | undefined;
  /** Slowest of the ranks that the move touches, afterwards. */
  readonly slowest: number;
  /** Time of the receiving rank afterwards. */
  readonly toTime: number;
}

/** The best form of moving one expert to one rank; undefined when it does not fit. */
function judge(
  draft: MapDraft,
  load: ExpertLoad,
  from: number,
  to: number,
  expert: number,
  eviction: Eviction | undefined,
): Move | undefined {
  if (draft.held[to]?.has(expert) === true || eviction?.expert === expert) return undefined;
  const tokens = load.tokens[expert] ?? 0;
  const replicas = draft.replicas[expert] ?? 1;
  const fromSpeed = load.speeds[from] ?? 1;
  const toSpeed = load.speeds[to] ?? 1;
  const share = tokens / replicas;
  const shared = tokens / (replicas + 1);
  const roomy = (draft.times[to] ?? 0) - (eviction?.share ?? 0) / toSpeed;
  const fromTime = draft.times[from] ?? 0;
  const harmed = eviction?.holdersSlowest ?? 0;
  const replicatedTo = roomy + shared / toSpeed;
  const movedTo = roomy + share / toSpeed;
  const replicated = Math.max(fromTime - (share - shared) / fromSpeed, replicatedTo, harmed);
  const moved = Math.max(fromTime - share / fromSpeed, movedTo, harmed);
  const stays = replicated <= moved;
  return {
    expert,
    to,
    from: stays ? undefined : from,
    evicted: eviction?.expert,
    slowest: Math.min(replicated, moved),
    toTime: stays ? replicatedTo : movedTo,
  };
}

/** Ties go to the rank that ends up least loaded, so that free slots are used before replicas are given up. */
function isBetter(move: Move, best: Move | undefined): boolean {
  if (best === undefined) return true;
  if (move.slowest !== best.slowest) return move.slowest < best.slowest;
  return move.toTime < best.toTime;
}

/** An exchange of two experts between full ranks; it counts as two moves. */
interface Exchange {
  readonly given: number;
  readonly taken: number;
  readonly with: number;
  readonly slowest: number;
}

/** Whether a rank may take an expert: it held it before, or has loads left. */
type MayTake = (rank: number, expert: number) => boolean;

/** Tells, for the draft as it is now, what each rank may take against the map in force. */
type LoadBound = () => MayTake;

/** Bounds what each rank loads against the map in force. */
function boundLoads(current: ExpertMap, draft: MapDraft, policy: MapPolicy): LoadBound {
  const { loadsByRank } = policy;
  if (loadsByRank === undefined) return () => () => true;
  const before = current.experts.map((experts) => new Set(experts));
  return () => {
    // Counted once a move: each of the thousands of questions that follow would count it again.
    const isFull = draft.held.map((held, rank) => {
      let loads = 0;
      for (const expert of held) if (before[rank]?.has(expert) !== true) loads += 1;
      return loads >= (loadsByRank[rank] ?? 0);
    });
    return (rank, expert) => isFull[rank] !== true || before[rank]?.has(expert) === true;
  };
}

function bestMove(
  draft: MapDraft,
  load: ExpertLoad,
  policy: MapPolicy,
  from: number,
  mayTake: MayTake,
): Move | undefined {
  let best: Move | undefined;
  for (const [to, target] of draft.held.entries()) {
    if (to === from || (draft.times[to] ?? 0) >= (draft.times[from] ?? 0)) continue;
    const full = target.size >= policy.slotsPerRank;
    const eviction = full ? planEviction(draft, load, to) : undefined;
    if (full && eviction === undefined) continue;
    for (const expert of draft.held[from] ?? []) {
      if (!mayTake(to, expert)) continue;
      const move = judge(draft, load, from, to, expert, eviction);
      if (move !== undefined && isBetter(move, best)) best = move;
    }
  }
  return best;
}

function bestExchange(
  draft: MapDraft,
  load: ExpertLoad,
  from: number,
  mayTake: MayTake,
): Exchange | undefined {
  let best: Exchange | undefined;
  const fromSpeed = load.speeds[from] ?? 1;
  for (const given of draft.held[from] ?? []) {
    const givenShare = (load.tokens[given] ?? 0) / (draft.replicas[given] ?? 1);
    for (const [other, held] of draft.held.entries()) {
      if (other === from || held.has(given) || !mayTake(other, given)) continue;
      const otherSpeed = load.speeds[other] ?? 1;
      for (const taken of held) {
        if (draft.held[from]?.has(taken) === true || !mayTake(from, taken)) continue;
        const takenShare = (load.tokens[taken] ?? 0) / (draft.replicas[taken] ?? 1);
        const difference = givenShare - takenShare;
        const slowest = Math.max(
          (draft.times[from] ?? 0) - difference / fromSpeed,
          (draft.times[other] ?? 0) + difference / otherSpeed,
        );
        if (best === undefined || slowest < best.slowest) {
          best = { given, taken, with: other, slowest };
        }
      }
    }
  }
  return best;
}

function applyMove(draft: MapDraft, move: Move): void {
  if (move.evicted !== undefined) removeFrom(draft, move.to, move.evicted);
  addTo(draft, move.to, move.expert);
  if (move.from !== undefined) removeFrom(draft, move.from, move.expert);
}

function applyExchange(draft: MapDraft, from: number, exchange: Exchange): void {
  removeFrom(draft, from, exchange.given);
  removeFrom(draft, exchange.with, exchange.taken);
  addTo(draft, from, exchange.taken);
  addTo(draft, exchange.with, exchange.given);
}

/** Takes load off the slowest rank until nothing helps or the moves are used up. */
function improve(draft: MapDraft, load: ExpertLoad, policy: MapPolicy, bound: LoadBound): number {
  let moves = 0;
  while (moves < policy.maximumMoves) {
    const mayTake = bound();
    const from = slowestRank(draft.times);
    const worst = draft.times[from] ?? 0;
    if (policy.fairSkew !== undefined && skewOf(draft.times) <= policy.fairSkew) return moves;
    const move = bestMove(draft, load, policy, from, mayTake);
    const room = policy.maximumMoves - moves >= 2;
    const exchange = room ? bestExchange(draft, load, from, mayTake) : undefined;
    // An exchange loads two experts, so it has to be better by more than a single move.
    const exchangeWins =
      exchange !== undefined && worst - exchange.slowest > 2 * (worst - (move?.slowest ?? worst));
    if (exchangeWins && exchange.slowest < worst) {
      applyExchange(draft, from, exchange);
      moves += 2;
    } else if (move !== undefined && move.slowest < worst) {
      applyMove(draft, move);
      moves += 1;
    } else {
      return moves;
    }
    refreshTimes(draft, load);
  }
  return moves;
}

/** `caution` multiplies what a change has to gain; see `planCaution`. */
export function planMap(
  current: ExpertMap,
  load: ExpertLoad,
  policy: MapPolicy,
  caution = INITIAL_CAUTION,
): MapDecision {
  const draft = toDraft(current, load);
  const skewBefore = skewOf(draft.times);
  const worstBefore = Math.max(...draft.times);
  const keep = (reason: string): MapDecision => ({
    kind: MapDecisionKind.Keep,
    map: current,
    moves: 0,
    skewBefore,
    skewAfter: skewBefore,
    reason,
  });
  const moves = improve(draft, load, policy, boundLoads(current, draft, policy));
  if (moves === 0) return keep('no move helps');
  const worstAfter = Math.max(...draft.times);
  const gain = (worstBefore - worstAfter) / worstBefore;
  if (gain < policy.minimumGain * caution) return keep(`gain of ${gain.toFixed(3)} is too small`);
  const gainedSteps = gain * policy.horizonSteps;
  const costSteps = moves * policy.moveCostSteps * caution;
  if (gainedSteps <= costSteps) return keep(`${moves} moves cost more than they gain`);
  const map = toMap(draft);
  return {
    kind: MapDecisionKind.Change,
    map,
    moves,
    skewBefore,
    skewAfter: skewOf(rankTimes(map, load)),
    reason: `gains ${gainedSteps.toFixed(0)} steps for ${costSteps.toFixed(0)}`,
  };
}
