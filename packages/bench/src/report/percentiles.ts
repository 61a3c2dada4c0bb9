/**
 * Percentiles by HDR histogram, in the unit of the values given.
 */
import { build } from 'hdr-histogram-js';

const SCALE = 1000;
const HIGHEST = 3_600_000_000;

export interface Percentiles {
  readonly count: number;
  readonly p50: number;
  readonly p95: number;
  readonly p99: number;
}

export function percentilesOf(values: Iterable<number>): Percentiles {
  const histogram = build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: HIGHEST,
    numberOfSignificantValueDigits: 3,
  });
  for (const value of values) {
    histogram.recordValue(Math.min(HIGHEST, Math.max(1, Math.round(value * SCALE))));
  }
  const at = (percentile: number): number => histogram.getValueAtPercentile(percentile) / SCALE;
  return { count: histogram.totalCount, p50: at(50), p95: at(95), p99: at(99) };
}
