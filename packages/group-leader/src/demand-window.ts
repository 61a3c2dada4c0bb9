/**
 * How much each expert is in demand, from the counts that the ranks keep since they started.
 * Recent choices weigh most, since demand moves within seconds.
 */
import type { ExpertLoad } from '@lapisbridge/placement';

import type { CountDelta } from './count-delta.js';

export interface DemandWindow {
  /** Takes what a rank's counts grew by. */
  add(delta: CountDelta): void;
  /** Loads of each set, given how much slower than usual each rank is. */
  loads(sets: number, slowdownFactors: readonly number[]): ExpertLoad[];
  /** Choices in the window, over all experts. */
  totalChoices(): number;
  /** Forgets what came before: the demand has shifted, and the old one would blur the new. */
  reset(): void;
  /** Milliseconds since the window was last empty. */
  ageMilliseconds(): number;
}

/** `windowMilliseconds` is the age at which a choice counts for about a third. */
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
        // The group has formed anew. While it stood still nothing was chosen, so what was in
        // demand before is the best guess, and not older by that time.
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
        // An expert that was not chosen may be next: no expert counts as nothing.
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
