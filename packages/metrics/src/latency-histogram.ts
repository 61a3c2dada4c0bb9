/**
 * Histogram of latencies with buckets of equal relative width, so that high percentiles are as
 * accurate as the median. hdr-histogram-js does the same and more, but loading it takes an instance
 * about 15 MB, as much as the rest of the program.
 */
export interface LatencyHistogram {
  record(milliseconds: number): void;
  /** Value in milliseconds at a percentile between 0 and 100; 0 while nothing was recorded. */
  valueAtPercentile(percentile: number): number;
}

const LOWEST_MILLISECONDS = 0.01;
const HIGHEST_MILLISECONDS = 3_600_000;
/** Ratio of the bounds of a bucket; half of the difference is the largest error. */
const BUCKET_RATIO = 1.02;

function bucketOf(milliseconds: number): number {
  const bounded = Math.min(Math.max(milliseconds, LOWEST_MILLISECONDS), HIGHEST_MILLISECONDS);
  return Math.round(Math.log(bounded / LOWEST_MILLISECONDS) / Math.log(BUCKET_RATIO));
}

export function createLatencyHistogram(): LatencyHistogram {
  const counts = new Uint32Array(bucketOf(HIGHEST_MILLISECONDS) + 1);
  let total = 0;
  return {
    record(milliseconds) {
      const bucket = bucketOf(milliseconds);
      counts[bucket] = (counts[bucket] ?? 0) + 1;
      total += 1;
    },
    valueAtPercentile(percentile) {
      if (total === 0) return 0;
      const rank = Math.max(1, Math.ceil((percentile / 100) * total));
      let seen = 0;
      for (const [bucket, count] of counts.entries()) {
        seen += count;
        if (seen >= rank) return LOWEST_MILLISECONDS * BUCKET_RATIO ** bucket;
      }
      return HIGHEST_MILLISECONDS;
    },
  };
}
