/**
 * Estimates the duration of a pass of the group from its progress over a few tenths of a second.
 */
export interface PassDurationEstimator {
  observe(step: number): void;
  /** Recent average; a default while no pass was observed, as in an idle group. */
  averageMilliseconds(): number;
}

/** Time over which passes are counted. */
const WINDOW_MILLISECONDS = 400;
/** Assumed duration of a pass while none was observed: a few steps of some milliseconds each. */
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
      // Steps are counted from zero when the group forms again.
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
