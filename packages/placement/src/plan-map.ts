/**
 * Plans the next expert map from the one in force: a few moves that take load off the slowest
 * rank, and only if what they gain over the horizon is worth what they cost.
 */
import { countReplicas, rankTimes, skewOf } from './expert-map.js';
import type { ExpertLoad, ExpertMap } from './expert-map.js';

export interface MapPolicy {
  readonly slotsPerRank: number;
  readonly maximumMoves: number;
  readonly horizonSteps: number;
  /** Relative gain below which the map is left alone. */
  readonly minimumGain: number;
  /** Stall that moving one expert costs, in steps. */
  readonly moveCostSteps: number;
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
  readonly slowest: number;
  readonly cost: number;
}

interface Draft {
  readonly held: Set<number>[];
  readonly replicas: number[];
  readonly times: number[];
}

function toDraft(map: ExpertMap, load: ExpertLoad): Draft {
  return {
    held: map.experts.map((experts) => new Set(experts)),
    replicas: countReplicas(map, load.tokens.length),
    times: rankTimes(map, load),
  };
}

function slowestRank(times: readonly number[]): number {
  let slowest = 0;
  for (const [rank, time] of times.entries()) {
    if (time > (times[slowest] ?? 0)) slowest = rank;
  }
  return slowest;
}

/** The replicated expert whose loss costs a rank's group least. */
function cheapestReplica(draft: Draft, load: ExpertLoad, rank: number): number | undefined {
  let cheapest: number | undefined;
  let lowest = Infinity;
  for (const expert of draft.held[rank] ?? []) {
    const replicas = draft.replicas[expert] ?? 1;
    const share = (load.tokens[expert] ?? 0) / replicas;
    if (replicas > 1 && share < lowest) {
      cheapest = expert;
      lowest = share;
    }
  }
  return cheapest;
}

/** Time of the slower of the two ranks after a move, or infinity when the move does not fit. */
function judge(
  draft: Draft,
  load: ExpertLoad,
  policy: MapPolicy,
  from: number,
  to: number,
  expert: number,
): Move | undefined {
  const target = draft.held[to];
  if (target.has(expert)) return undefined;
  const full = target.size >= policy.slotsPerRank;
  const evicted = full ? cheapestReplica(draft, load, to) : undefined;
  if (full && (evicted === undefined || evicted === expert)) return undefined;
  const tokens = load.tokens[expert] ?? 0;
  const replicas = draft.replicas[expert] ?? 1;
  const fromSpeed = load.speeds[from] ?? 1;
  const toSpeed = load.speeds[to] ?? 1;
  const share = tokens / replicas;
  const shared = tokens / (replicas + 1);
  const evictedShare =
    evicted === undefined ? 0 : (load.tokens[evicted] ?? 0) / (draft.replicas[evicted] ?? 1);
  const toTime = (draft.times[to] ?? 0) - evictedShare / toSpeed;
  const fromTime = draft.times[from] ?? 0;
  const replicated = Math.max(fromTime - (share - shared) / fromSpeed, toTime + shared / toSpeed);
  const moved = Math.max(fromTime - share / fromSpeed, toTime + share / toSpeed);
  const stays = replicated <= moved;
  return {
    expert,
    to,
    from: stays ? undefined : from,
    evicted,
    slowest: Math.min(replicated, moved),
    cost: 1,
  };
}

/** An exchange of two experts between full ranks; it counts as two moves. */
interface Exchange {
  readonly given: number;
  readonly taken: number;
  readonly with: number;
  readonly slowest: number;
}

function bestMove(
  draft: Draft,
  load: ExpertLoad,
  policy: MapPolicy,
  from: number,
): Move | undefined {
  let best: Move | undefined;
  for (const expert of draft.held[from] ?? []) {
    for (let to = 0; to < draft.held.length; to += 1) {
      if (to !== from && (draft.times[to] ?? 0) < (draft.times[from] ?? 0)) {
        const move = judge(draft, load, policy, from, to, expert);
        if (move !== undefined && (best === undefined || move.slowest < best.slowest)) best = move;
      }
    }
  }
  return best;
}

function bestExchange(draft: Draft, load: ExpertLoad, from: number): Exchange | undefined {
  let best: Exchange | undefined;
  const fromSpeed = load.speeds[from] ?? 1;
  for (const given of draft.held[from] ?? []) {
    const givenShare = (load.tokens[given] ?? 0) / (draft.replicas[given] ?? 1);
    for (const [other, held] of draft.held.entries()) {
      if (other === from || held.has(given)) continue;
      const otherSpeed = load.speeds[other] ?? 1;
      for (const taken of held) {
        if (draft.held[from]?.has(taken) === true) continue;
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

function addTo(draft: Draft, rank: number, expert: number): void {
  draft.held[rank]?.add(expert);
  draft.replicas[expert] = (draft.replicas[expert] ?? 0) + 1;
}

function removeFrom(draft: Draft, rank: number, expert: number): void {
  draft.held[rank]?.delete(expert);
  draft.replicas[expert] = (draft.replicas[expert] ?? 1) - 1;
}

function refreshTimes(draft: Draft, load: ExpertLoad): void {
  for (const [rank, held] of draft.held.entries()) {
    let tokens = 0;
    for (const expert of held) tokens += (load.tokens[expert] ?? 0) / (draft.replicas[expert] ?? 1);
    draft.times[rank] = tokens / (load.speeds[rank] ?? 1);
  }
}

function applyMove(draft: Draft, move: Move): void {
  if (move.evicted !== undefined) removeFrom(draft, move.to, move.evicted);
  addTo(draft, move.to, move.expert);
  if (move.from !== undefined) removeFrom(draft, move.from, move.expert);
}

function applyExchange(draft: Draft, from: number, exchange: Exchange): void {
  removeFrom(draft, from, exchange.given);
  removeFrom(draft, exchange.with, exchange.taken);
  addTo(draft, from, exchange.taken);
  addTo(draft, exchange.with, exchange.given);
}

/** Takes load off the slowest rank until nothing helps or the moves are used up. */
function improve(draft: Draft, load: ExpertLoad, policy: MapPolicy): number {
  let moves = 0;
  while (moves < policy.maximumMoves) {
    const from = slowestRank(draft.times);
    const worst = draft.times[from] ?? 0;
    const move = bestMove(draft, load, policy, from);
    const room = policy.maximumMoves - moves >= 2;
    const exchange = room ? bestExchange(draft, load, from) : undefined;
    // An exchange loads two experts, so it has to be better by more than a single move.
    const exchangeWins =
      exchange !== undefined && worst - exchange.slowest > 2 * (worst - (move?.slowest ?? worst));
    if (exchangeWins && exchange.slowest < worst) {
      applyExchange(draft, from, exchange);
      moves += 2;
    } else if (move !== undefined && move.slowest < worst) {
      applyMove(draft, move);
      moves += move.cost;
    } else {
      return moves;
    }
    refreshTimes(draft, load);
  }
  return moves;
}

function toMap(draft: Draft): ExpertMap {
  return {
    experts: draft.held.map((held) => [...held].sort((left, right) => left - right)),
  };
}

export function planMap(current: ExpertMap, load: ExpertLoad, policy: MapPolicy): MapDecision {
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
  const moves = improve(draft, load, policy);
  if (moves === 0) return keep('no move helps');
  const worstAfter = Math.max(...draft.times);
  const gain = (worstBefore - worstAfter) / worstBefore;
  if (gain < policy.minimumGain) return keep(`gain of ${gain.toFixed(3)} is too small`);
  const gainedSteps = gain * policy.horizonSteps;
  const costSteps = moves * policy.moveCostSteps;
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
