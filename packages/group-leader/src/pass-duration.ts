/**
 * How long a pass of the group takes, from the passes counted over some tenths of a second.
 */
export interface PassDurationEstimator {
  observe(step: number): void;
  /** Of late; the usual time of an idle group when nothing was counted. */
  averageMilliseconds(): number;
}

/** Span over which passes are counted. */
const WINDOW_MILLISECONDS = 400;
/** Time of a pass where none were seen: a few steps of some milliseconds each. */
const DEFAULT_PASS_MILLISECONDS = 40;

interface Sample {
  readonly at: number;
  readonly step: number;
}

export function createPassDurationEstimator(now: () => number): PassDurationEstimator {
  let samples: Sample[] = [];
  return {
    observe(step) {
      const at = now();
      const last = samples.at(-1);
      // Counting begins anew with each forming of the group.
      if (last !== undefined && step < last.step) samples = [];
      samples.push({ at, step });
      while ((samples[1]?.at ?? Infinity) < at - WINDOW_MILLISECONDS) samples.shift();
    },
    averageMilliseconds() {
      const first = samples[0];
      const last = samples.at(-1);
      if (first === undefined || last === undefined || last.step === first.step) {
        return DEFAULT_PASS_MILLISECONDS;
      }
      return (last.at - first.at) / (last.step - first.step);
    },
  };
}
