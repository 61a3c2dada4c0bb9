/**
 * Tracks when an answer of one route is later than usual, from the route's recent answers. A
 * quantile alone would be the time of the slow servers once they give more answers than lie above
 * it, so a multiple of the median bounds it.
 */
export interface LateThreshold {
  record(milliseconds: number): void;
  /** Undefined until enough answers are known. */
  lateAfterMilliseconds(): number | undefined;
}

/** The most recent answers that are kept. */
const KEPT_ANSWERS = 256;
/** Fewer say little about a high quantile. */
const MINIMUM_ANSWERS = 20;
const LATE_QUANTILE = 0.95;
const MEDIAN = 0.5;
const MAXIMUM_MEDIANS = 3;
/** Answers between two evaluations, since sorting on each request would be expensive. */
const EVALUATION_INTERVAL_ANSWERS = 16;

function quantileOf(sorted: Float64Array, quantile: number): number {
  const rank = Math.ceil(quantile * sorted.length);
  return sorted[Math.max(0, rank - 1)] ?? 0;
}

export function createLateThreshold(): LateThreshold {
  const answers = new Float64Array(KEPT_ANSWERS);
  let recorded = 0;
  let evaluatedAt = -Infinity;
  let lateAfter: number | undefined;

  function evaluate(): number {
    const sorted = answers.slice(0, Math.min(recorded, KEPT_ANSWERS)).sort();
    const multiple = MAXIMUM_MEDIANS * quantileOf(sorted, MEDIAN);
    return Math.min(quantileOf(sorted, LATE_QUANTILE), multiple);
  }

  return {
    record(milliseconds) {
      answers[recorded % KEPT_ANSWERS] = milliseconds;
      recorded += 1;
    },
    lateAfterMilliseconds() {
      if (recorded < MINIMUM_ANSWERS) return undefined;
      if (lateAfter === undefined || recorded - evaluatedAt >= EVALUATION_INTERVAL_ANSWERS) {
        lateAfter = evaluate();
        evaluatedAt = recorded;
      }
      return lateAfter;
    },
  };
}
