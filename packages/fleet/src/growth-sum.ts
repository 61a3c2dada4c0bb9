/**
 * Sums the count increments of a zone's ranks, so that a group's leader receives one message per
 * zone instead of one per rank.
 */
import { quantizeCountDelta, dequantizeCountDelta } from '@lapisbridge/group-leader';
import type { QuantizedCountDelta } from '@lapisbridge/group-leader';

export interface GrowthSum {
  add(group: string, growth: QuantizedCountDelta): void;
  /** Returns the sum since the last call and resets it; undefined when nothing was added. */
  take(group: string): QuantizedCountDelta | undefined;
}

interface Sum {
  readonly epoch: number;
  readonly counts: number[];
}

/** More precise than a single rank's counts: no other sums average out its rounding error. */
const SUM_BITS = 8;

/** `random` is uniform in [0, 1). */
export function createGrowthSum(random: () => number): GrowthSum {
  const sums = new Map<string, Sum>();
  return {
    add(group, packed) {
      const { epoch, counts } = dequantizeCountDelta(packed);
      const sum = sums.get(group);
      if (sum === undefined || sum.epoch < epoch || sum.counts.length !== counts.length) {
        sums.set(group, { epoch, counts: [...counts] });
        return;
      }
      if (sum.epoch > epoch) return;
      for (const [index, count] of counts.entries()) {
        sum.counts[index] = (sum.counts[index] ?? 0) + count;
      }
    },
    take(group) {
      const sum = sums.get(group);
      sums.delete(group);
      return sum === undefined ? undefined : quantizeCountDelta(sum, random, SUM_BITS);
    },
  };
}
