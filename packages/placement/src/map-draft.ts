/**
 * A map that is being changed, with what the changes do to each rank's time.
 */
import { countReplicas, rankTimes } from './expert-map.js';
import type { ExpertLoad, ExpertMap } from './expert-map.js';

export interface MapDraft {
  readonly held: Set<number>[];
  /**
   * For each expert, the ranks that hold it. Looking through all ranks for them instead took a
   * third of the planning of a group of 63 ranks.
   */
  readonly holders: Set<number>[];
  readonly replicas: number[];
  readonly times: number[];
}

export function toDraft(map: ExpertMap, load: ExpertLoad): MapDraft {
  const holders = load.tokens.map(() => new Set<number>());
  for (const [rank, experts] of map.experts.entries()) {
    for (const expert of experts) holders[expert]?.add(rank);
  }
  return {
    held: map.experts.map((experts) => new Set(experts)),
    holders,
    replicas: countReplicas(map, load.tokens.length),
    times: rankTimes(map, load),
  };
}

export function slowestRank(times: readonly number[]): number {
  let slowest = 0;
  for (const [rank, time] of times.entries()) {
    if (time > (times[slowest] ?? 0)) slowest = rank;
  }
  return slowest;
}

/** What a full rank can give up, and the slowest other holder of it afterwards. */
export interface Eviction {
  readonly expert: number;
  readonly share: number;
  readonly holdersSlowest: number;
}

/** Slowest of the other ranks that hold an expert once one of its replicas is gone. */
function slowestHolderAfter(
  draft: MapDraft,
  load: ExpertLoad,
  expert: number,
  without: number,
): number {
  const replicas = draft.replicas[expert] ?? 1;
  const tokens = load.tokens[expert] ?? 0;
  const added = tokens / (replicas - 1) - tokens / replicas;
  let slowest = 0;
  for (const rank of draft.holders[expert] ?? []) {
    if (rank === without) continue;
    slowest = Math.max(slowest, (draft.times[rank] ?? 0) + added / (load.speeds[rank] ?? 1));
  }
  return slowest;
}

/** The replica that a rank can give up at the least harm to the expert's other holders. */
export function planEviction(
  draft: MapDraft,
  load: ExpertLoad,
  rank: number,
): Eviction | undefined {
  let best: Eviction | undefined;
  for (const expert of draft.held[rank] ?? []) {
    const replicas = draft.replicas[expert] ?? 1;
    if (replicas > 1) {
      const holdersSlowest = slowestHolderAfter(draft, load, expert, rank);
      const share = (load.tokens[expert] ?? 0) / replicas;
      if (best === undefined || holdersSlowest < best.holdersSlowest) {
        best = { expert, share, holdersSlowest };
      }
    }
  }
  return best;
}

export function addTo(draft: MapDraft, rank: number, expert: number): void {
  draft.held[rank]?.add(expert);
  draft.holders[expert]?.add(rank);
  draft.replicas[expert] = (draft.replicas[expert] ?? 0) + 1;
}

export function removeFrom(draft: MapDraft, rank: number, expert: number): void {
  draft.held[rank]?.delete(expert);
  draft.holders[expert]?.delete(rank);
  draft.replicas[expert] = (draft.replicas[expert] ?? 1) - 1;
}

export function refreshTimes(draft: MapDraft, load: ExpertLoad): void {
  for (const [rank, held] of draft.held.entries()) {
    let tokens = 0;
    for (const expert of held) tokens += (load.tokens[expert] ?? 0) / (draft.replicas[expert] ?? 1);
    draft.times[rank] = tokens / (load.speeds[rank] ?? 1);
  }
}

export function toMap(draft: MapDraft): ExpertMap {
  return {
    experts: draft.held.map((held) => [...held].sort((left, right) => left - right)),
  };
}
