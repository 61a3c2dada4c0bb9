/**
 * Tells when an idempotent call is late enough to be sent to a second server: after the time
 * in which 95 of 100 calls of its service have been answered here.
 */
import { build } from 'hdr-histogram-js';
import type { Histogram } from 'hdr-histogram-js';

const PERCENTILE = 95;
/** Fewer answers say too little about the usual time. */
const MINIMUM_ANSWERS = 100;
/** After so many answers the histogram starts anew, so that it follows the present. */
const MAXIMUM_ANSWERS = 10_000;
const HIGHEST_MILLISECONDS = 600_000;
/** Below this a second call costs more than waiting. */
const SHORTEST_MILLISECONDS = 5;

export interface HedgeTimer {
  observe(service: string, milliseconds: number): void;
  /** Milliseconds after which to hedge; undefined while too little is known. */
  hedgeAfter(service: string): number | undefined;
}

interface Recent {
  histogram: Histogram;
  settled: number | undefined;
}

function createHistogram(): Histogram {
  return build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: HIGHEST_MILLISECONDS,
    numberOfSignificantValueDigits: 2,
    bitBucketSize: 32,
  });
}

export function createHedgeTimer(): HedgeTimer {
  const byService = new Map<string, Recent>();

  function recentOf(service: string): Recent {
    const known = byService.get(service);
    if (known !== undefined) return known;
    const recent: Recent = { histogram: createHistogram(), settled: undefined };
    byService.set(service, recent);
    return recent;
  }

  function percentile(histogram: Histogram): number {
    return Math.max(SHORTEST_MILLISECONDS, histogram.getValueAtPercentile(PERCENTILE));
  }

  return {
    observe(service, milliseconds) {
      const recent = recentOf(service);
      const whole = Math.max(1, Math.round(milliseconds));
      recent.histogram.recordValue(Math.min(whole, HIGHEST_MILLISECONDS));
      if (recent.histogram.totalCount < MAXIMUM_ANSWERS) return;
      recent.settled = percentile(recent.histogram);
      recent.histogram = createHistogram();
    },
    hedgeAfter(service) {
      const { histogram, settled } = recentOf(service);
      return histogram.totalCount >= MINIMUM_ANSWERS ? percentile(histogram) : settled;
    },
  };
}
