/**
 * An expert map: which ranks of a group hold which experts of one layer set. Tokens of an
 * expert are spread evenly over the ranks that hold it.
 */
export interface ExpertMap {
  /** For each rank, the experts it holds, in ascending order. */
  readonly experts: readonly (readonly number[])[];
}

/** What is known of the load: tokens per expert in one window, and the speed of each rank. */
export interface ExpertLoad {
  readonly tokens: readonly number[];
  /** Relative speed, 1 for a healthy rank, less for a straggler. */
  readonly speeds: readonly number[];
}

/** Spreads experts over ranks in order, as a first map. */
export function initialMap(experts: number, ranks: number): ExpertMap {
  const held: number[][] = Array.from({ length: ranks }, () => []);
  for (let expert = 0; expert < experts; expert += 1) held[expert % ranks]?.push(expert);
  return { experts: held };
}

/** How many ranks hold each expert. */
export function countReplicas(map: ExpertMap, experts: number): number[] {
  const replicas = new Array<number>(experts).fill(0);
  for (const held of map.experts) {
    for (const expert of held) replicas[expert] = (replicas[expert] ?? 0) + 1;
  }
  return replicas;
}

/** Predicted time of each rank in one step, in units of tokens at full speed. */
export function predictRankTimes(map: ExpertMap, load: ExpertLoad): number[] {
  const replicas = countReplicas(map, load.tokens.length);
  return map.experts.map((held, rank) => {
    let tokens = 0;
    for (const expert of held) tokens += (load.tokens[expert] ?? 0) / (replicas[expert] ?? 1);
    return tokens / (load.speeds[rank] ?? 1);
  });
}

/** Slowest rank against the mean; 1 is perfect. */
export function skewOf(times: readonly number[]): number {
  const sum = times.reduce((total, time) => total + time, 0);
  return sum === 0 ? 1 : (Math.max(...times) * times.length) / sum;
}

/** For each rank, the experts that it holds after a change and not before, and has to load. */
export function countNewExpertsByRank(before: ExpertMap, after: ExpertMap): number[] {
  return after.experts.map((held, rank) => {
    const previousExperts = new Set(before.experts[rank]);
    return held.filter((expert) => !previousExperts.has(expert)).length;
  });
}

/** Experts that are loaded for a change, over all ranks. */
export function countNewExperts(before: ExpertMap, after: ExpertMap): number {
  return countNewExpertsByRank(before, after).reduce((sum, count) => sum + count, 0);
}
