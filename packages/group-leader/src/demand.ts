/**
 * How much each expert is in demand, from the counts that the ranks keep since they started.
 * Recent choices weigh most, since demand moves within seconds.
 */
import type { ExpertLoad } from '@lapisbridge/placement';

import type { CountGrowth } from './count-growth.js';

export interface Demand {
  /** Takes what a rank's counts grew by. */
  add(growth: CountGrowth): void;
  /** Loads of each set, given how much slower than usual each rank is. */
  loads(sets: number, paces: readonly number[]): ExpertLoad[];
  /** Choices in the window, over all experts. */
  total(): number;
  /** Forgets what came before: the demand has shifted, and the old one would blur the new. */
  restart(): void;
  /** Milliseconds since the window was last empty. */
  age(): number;
}

/** `windowMilliseconds` is the age at which a choice counts for about a third. */
export function createDemand(windowMilliseconds: number, now: () => number): Demand {
  let window: number[] = [];
  let decayedAt = now();
  let startedAt = now();
  let epoch: number | undefined;

  function decay(): void {
    const at = now();
    const factor = Math.exp((decayedAt - at) / windowMilliseconds);
    decayedAt = at;
    for (let index = 0; index < window.length; index += 1) {
      window[index] = (window[index] ?? 0) * factor;
    }
  }

  return {
    add(growth) {
      if (epoch !== undefined && growth.epoch < epoch) return;
      if (growth.epoch !== epoch) {
        // The group has formed anew. While it stood still nothing was chosen, so what was in
        // demand before is the best guess, and not older by that time.
        epoch = growth.epoch;
        decayedAt = now();
      }
      if (window.length !== growth.counts.length) {
        window = new Array<number>(growth.counts.length).fill(0);
      }
      decay();
      for (const [index, count] of growth.counts.entries()) {
        window[index] = (window[index] ?? 0) + count;
      }
    },
    loads(sets, paces) {
      const experts = Math.floor(window.length / Math.max(1, sets));
      const speeds = paces.map((pace) => 1 / Math.max(1, pace));
      const loads: ExpertLoad[] = [];
      for (let set = 0; set < sets; set += 1) {
        // An expert that was not chosen may be next: no expert counts as nothing.
        const tokens = window.slice(set * experts, (set + 1) * experts).map((count) => count + 1);
        loads.push({ tokens, speeds });
      }
      return loads;
    },
    total: () => window.reduce((sum, count) => sum + count, 0),
    restart() {
      window.fill(0);
      startedAt = now();
    },
    age: () => now() - startedAt,
  };
}
