/**
 * A mutable copy of an expert map for the planner, with the predicted time of each rank.
 */
import { countReplicas, predictRankTimes } from './expert-map.js';
import type { ExpertLoad, ExpertMap } from './expert-map.js';

export interface MapDraft {
  /** For each rank, the experts that it holds. */
  readonly expertsByRank: Set<number>[];
  /**
   * For each expert, the ranks that hold it. Searching all ranks for them instead took a third of
   * the planning time of a group of 63 ranks.
   */
  readonly ranksByExpert: Set<number>[];
  readonly replicaCounts: number[];
  readonly rankTimes: number[];
}

export function toDraft(map: ExpertMap, load: ExpertLoad): MapDraft {
  const ranksByExpert = load.tokens.map(() => new Set<number>());
  for (const [rank, experts] of map.experts.entries()) {
    for (const expert of experts) ranksByExpert[expert]?.add(rank);
  }
  return {
    expertsByRank: map.experts.map((experts) => new Set(experts)),
    ranksByExpert,
    replicaCounts: countReplicas(map, load.tokens.length),
    rankTimes: predictRankTimes(map, load),
  };
}

export function slowestRank(times: readonly number[]): number {
  let slowest = 0;
  for (const [rank, time] of times.entries()) {
    if (time > (times[slowest] ?? 0)) slowest = rank;
  }
  return slowest;
}

/** A replica that a full rank can give up. */
export interface Eviction {
  readonly expert: number;
  readonly share: number;
  readonly slowestHolderTime: number;
}

/** Time of the slowest other rank that holds an expert after one of its replicas is removed. */
function slowestHolderTimeAfter(
  draft: MapDraft,
  load: ExpertLoad,
  expert: number,
  evictingRank: number,
): number {
  const replicas = draft.replicaCounts[expert] ?? 1;
  const tokens = load.tokens[expert] ?? 0;
  const added = tokens / (replicas - 1) - tokens / replicas;
  let slowest = 0;
  for (const rank of draft.ranksByExpert[expert] ?? []) {
    if (rank === evictingRank) continue;
    slowest = Math.max(slowest, (draft.rankTimes[rank] ?? 0) + added / (load.speeds[rank] ?? 1));
  }
  return slowest;
}

/**
 * The replica that a rank can give up with the least effect on the expert's other holders;
 * undefined when the rank holds the only copy of each of its experts.
 */
export function chooseEviction(
  draft: MapDraft,
  load: ExpertLoad,
  rank: number,
): Eviction | undefined {
  let best: Eviction | undefined;
  for (const expert of draft.expertsByRank[rank] ?? []) {
    const replicas = draft.replicaCounts[expert] ?? 1;
    if (replicas > 1) {
      const slowestHolderTime = slowestHolderTimeAfter(draft, load, expert, rank);
      const share = (load.tokens[expert] ?? 0) / replicas;
      if (best === undefined || slowestHolderTime < best.slowestHolderTime) {
        best = { expert, share, slowestHolderTime };
      }
    }
  }
  return best;
}

export function addReplica(draft: MapDraft, rank: number, expert: number): void {
  draft.expertsByRank[rank]?.add(expert);
  draft.ranksByExpert[expert]?.add(rank);
  draft.replicaCounts[expert] = (draft.replicaCounts[expert] ?? 0) + 1;
}

export function removeReplica(draft: MapDraft, rank: number, expert: number): void {
  draft.expertsByRank[rank]?.delete(expert);
  draft.ranksByExpert[expert]?.delete(rank);
  draft.replicaCounts[expert] = (draft.replicaCounts[expert] ?? 1) - 1;
}

export function recomputeRankTimes(draft: MapDraft, load: ExpertLoad): void {
  for (const [rank, experts] of draft.expertsByRank.entries()) {
    let tokens = 0;
    for (const expert of experts)
      tokens += (load.tokens[expert] ?? 0) / (draft.replicaCounts[expert] ?? 1);
    draft.rankTimes[rank] = tokens / (load.speeds[rank] ?? 1);
  }
}

export function toMap(draft: MapDraft): ExpertMap {
  return {
    experts: draft.expertsByRank.map((experts) => [...experts].sort((left, right) => left - right)),
  };
}
