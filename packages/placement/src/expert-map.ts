/**
 * Expert maps: which ranks of a group hold which experts of one layer set. The tokens of an expert
 * are divided evenly among the ranks that hold it.
 */
export interface ExpertMap {
  /** For each rank, the experts it holds, in ascending order. */
  readonly experts: readonly (readonly number[])[];
}

/** The load that a map is planned for. */
export interface ExpertLoad {
  /** Tokens of each expert in one window. */
  readonly tokens: readonly number[];
  /** Relative speed of each rank: 1 for a healthy one, less for a straggler. */
  readonly speeds: readonly number[];
}

/** The first map of a group: experts assigned to ranks round robin, without replicas. */
export function initialMap(experts: number, ranks: number): ExpertMap {
  const held: number[][] = Array.from({ length: ranks }, () => []);
  for (let expert = 0; expert < experts; expert += 1) held[expert % ranks]?.push(expert);
  return { experts: held };
}

/** The number of ranks that hold each expert. */
export function countReplicas(map: ExpertMap, experts: number): number[] {
  const replicas = new Array<number>(experts).fill(0);
  for (const held of map.experts) {
    for (const expert of held) replicas[expert] = (replicas[expert] ?? 0) + 1;
  }
  return replicas;
}

/** Predicted time of each rank for the load of one window, in tokens at full speed. */
export function predictRankTimes(map: ExpertMap, load: ExpertLoad): number[] {
  const replicas = countReplicas(map, load.tokens.length);
  return map.experts.map((held, rank) => {
    let tokens = 0;
    for (const expert of held) tokens += (load.tokens[expert] ?? 0) / (replicas[expert] ?? 1);
    return tokens / (load.speeds[rank] ?? 1);
  });
}

/** Load imbalance: the time of the slowest rank divided by the mean; 1 is perfectly balanced. */
export function skewOf(times: readonly number[]): number {
  const sum = times.reduce((total, time) => total + time, 0);
  return sum === 0 ? 1 : (Math.max(...times) * times.length) / sum;
}

/** For each rank, the number of experts that it has to load for a change of maps. */
export function countNewExpertsByRank(before: ExpertMap, after: ExpertMap): number[] {
  return after.experts.map((held, rank) => {
    const previousExperts = new Set(before.experts[rank]);
    return held.filter((expert) => !previousExperts.has(expert)).length;
  });
}

/** The number of experts that all ranks together have to load for a change of maps. */
export function countNewExperts(before: ExpertMap, after: ExpertMap): number {
  return countNewExpertsByRank(before, after).reduce((sum, count) => sum + count, 0);
}
