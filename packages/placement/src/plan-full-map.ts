/**
 * Plans a map from scratch, as a baseline for comparisons: hot experts are replicated into the
 * spare slots, and then all replicas are placed, largest first, on the rank that finishes earliest.
 */
import type { ExpertLoad, ExpertMap } from './expert-map.js';

function planReplicaCounts(tokens: readonly number[], slots: number): number[] {
  const replicas = tokens.map(() => 1);
  for (let spare = slots - tokens.length; spare > 0; spare -= 1) {
    let hottest = 0;
    let highest = -1;
    for (const [expert, count] of tokens.entries()) {
      const share = count / (replicas[expert] ?? 1);
      if (share > highest) {
        highest = share;
        hottest = expert;
      }
    }
    replicas[hottest] = (replicas[hottest] ?? 1) + 1;
  }
  return replicas;
}

export function planFullMap(load: ExpertLoad, slotsPerRank: number): ExpertMap {
  const ranks = load.speeds.length;
  const replicas = planReplicaCounts(load.tokens, ranks * slotsPerRank);
  const replicaShares: { expert: number; share: number }[] = [];
  for (const [expert, count] of replicas.entries()) {
    const share = (load.tokens[expert] ?? 0) / count;
    for (let replica = 0; replica < count; replica += 1) replicaShares.push({ expert, share });
  }
  replicaShares.sort((left, right) => right.share - left.share);
  const expertsByRank = load.speeds.map(() => new Set<number>());
  const times = load.speeds.map(() => 0);
  for (const { expert, share } of replicaShares) {
    let bestRank = -1;
    for (let rank = 0; rank < ranks; rank += 1) {
      const experts = expertsByRank[rank];
      if (experts.size >= slotsPerRank || experts.has(expert)) continue;
      const time = (times[rank] ?? 0) + share / (load.speeds[rank] ?? 1);
      if (bestRank < 0 || time < (times[bestRank] ?? 0) + share / (load.speeds[bestRank] ?? 1))
        bestRank = rank;
    }
    // Every rank with a free slot already holds the expert, and processes this share as well.
    if (bestRank < 0) continue;
    expertsByRank[bestRank]?.add(expert);
    times[bestRank] = (times[bestRank] ?? 0) + share / (load.speeds[bestRank] ?? 1);
  }
  return {
    experts: expertsByRank.map((experts) => [...experts].sort((left, right) => left - right)),
  };
}
