/**
 * How old an answer of the store is, by the store's own clock. An answer may wait on its way, in a
 * process that stood still, or with another instance that passes it on. Dated by its arrival it
 * looks newer each time, and instances that confirm each other's copies keep them fresh for ever.
 */
export interface StoreClock {
  /** Takes note of a moment of the store's clock that has passed. */
  observe(moment: number): void;
  /** Milliseconds since the moment; infinite before any was observed. */
  ageMilliseconds(moment: number): number;
}

/** The shortest way is looked for anew after this long: clocks differ in pace. */
const WINDOW_MILLISECONDS = 60_000;

export function createStoreClock(now: () => number): StoreClock {
  /** Own clock less the store's, where the answer came the shortest way. */
  let offset = Infinity;
  let formerOffset = Infinity;
  let windowFrom = now();

  return {
    observe(moment) {
      if (now() - windowFrom > WINDOW_MILLISECONDS) {
        formerOffset = offset;
        offset = Infinity;
        windowFrom = now();
      }
      offset = Math.min(offset, now() - moment);
    },
    ageMilliseconds(moment) {
      const shortest = Math.min(offset, formerOffset);
      return Number.isFinite(shortest) ? Math.max(0, now() - moment - shortest) : Infinity;
    },
  };
}
