/**
 * Estimates the demand for each expert from the count deltas of all ranks. Counts decay
 * exponentially, because demand shifts within seconds.
 */
import type { ExpertLoad } from '@lapisbridge/placement';

import type { CountDelta } from './count-delta.js';

export interface DemandWindow {
  /** Adds the count delta of one rank. Deltas of an earlier epoch are ignored. */
  add(delta: CountDelta): void;
  /**
   * Load of each expert set. A slowdown factor of 2 means that the rank takes twice its usual time.
   */
  loads(sets: number, slowdownFactors: readonly number[]): ExpertLoad[];
  /** Sum of the decayed selections of all experts. */
  totalChoices(): number;
  /**
   * Clears the window after a shift in demand, so that earlier selections do not distort the new
   * estimate.
   */
  reset(): void;
  /** Time since the window was created or last reset. */
  ageMilliseconds(): number;
}

/**
 * `windowMilliseconds` is the time constant of the decay: after it a selection has 37% of its
 * weight.
 */
export function createDemandWindow(windowMilliseconds: number, now: () => number): DemandWindow {
  let decayedCounts: number[] = [];
  let decayedAt = now();
  let startedAt = now();
  let epoch: number | undefined;

  function decay(): void {
    const at = now();
    const factor = Math.exp((decayedAt - at) / windowMilliseconds);
    decayedAt = at;
    for (let index = 0; index < decayedCounts.length; index += 1) {
      decayedCounts[index] = (decayedCounts[index] ?? 0) * factor;
    }
  }

  return {
    add(delta) {
      if (epoch !== undefined && delta.epoch < epoch) return;
      if (delta.epoch !== epoch) {
        // The group has formed again. Nothing was selected while it was stopped, so the earlier
        // demand is still the best estimate and does not decay for that time.
        epoch = delta.epoch;
        decayedAt = now();
      }
      if (decayedCounts.length !== delta.counts.length) {
        decayedCounts = new Array<number>(delta.counts.length).fill(0);
      }
      decay();
      for (const [index, count] of delta.counts.entries()) {
        decayedCounts[index] = (decayedCounts[index] ?? 0) + count;
      }
    },
    loads(sets, slowdownFactors) {
      const experts = Math.floor(decayedCounts.length / Math.max(1, sets));
      const speeds = slowdownFactors.map((factor) => 1 / Math.max(1, factor));
      const loads: ExpertLoad[] = [];
      for (let set = 0; set < sets; set += 1) {
        // An expert that was not selected yet may be selected next, so no expert has zero load.
        const tokens = decayedCounts
          .slice(set * experts, (set + 1) * experts)
          .map((count) => count + 1);
        loads.push({ tokens, speeds });
      }
      return loads;
    },
    totalChoices: () => decayedCounts.reduce((sum, count) => sum + count, 0),
    reset() {
      decayedCounts.fill(0);
      startedAt = now();
    },
    ageMilliseconds: () => now() - startedAt,
  };
}
