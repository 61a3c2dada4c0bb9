/**
 * How long a pass of the group takes, from the passes counted over some tenths of a second.
 */
export interface PassClock {
  observe(step: number): void;
  /** Of late; the usual time of an idle group when nothing was counted. */
  milliseconds(): number;
}

/** Span over which passes are counted. */
const SPAN_MILLISECONDS = 400;
/** Time of a pass where none were seen: a few steps of some milliseconds each. */
const USUAL_MILLISECONDS = 40;

interface Sample {
  readonly at: number;
  readonly step: number;
}

export function createPassClock(now: () => number): PassClock {
  let samples: Sample[] = [];
  return {
    observe(step) {
      const at = now();
      const last = samples.at(-1);
      // Counting begins anew with each forming of the group.
      if (last !== undefined && step < last.step) samples = [];
      samples.push({ at, step });
      while ((samples[1]?.at ?? Infinity) < at - SPAN_MILLISECONDS) samples.shift();
    },
    milliseconds() {
      const first = samples[0];
      const last = samples.at(-1);
      if (first === undefined || last === undefined || last.step === first.step) {
        return USUAL_MILLISECONDS;
      }
      return (last.at - first.at) / (last.step - first.step);
    },
  };
}
