/**
 * How old an answer of the store is, by the store's own clock. An answer may wait on its way, in a
 * process that stood still, or with another instance that passes it on. Dated by its arrival it
 * looks newer each time, and instances that confirm each other's copies keep them fresh for ever.
 */
export interface StoreClock {
  /** Takes note of a moment of the store's clock that has passed. */
  observe(storeTime: number): void;
  /** Milliseconds since the moment; infinite before any was observed. */
  ageMilliseconds(storeTime: number): number;
}

/** The shortest way is looked for anew after this long: clocks differ in pace. */
const OFFSET_WINDOW_MILLISECONDS = 60_000;

export function createStoreClock(now: () => number): StoreClock {
  /** Own clock less the store's, where the answer came the shortest way. */
  let offset = Infinity;
  let previousOffset = Infinity;
  let windowStartedAt = now();

  return {
    observe(storeTime) {
      if (now() - windowStartedAt > OFFSET_WINDOW_MILLISECONDS) {
        previousOffset = offset;
        offset = Infinity;
        windowStartedAt = now();
      }
      offset = Math.min(offset, now() - storeTime);
    },
    ageMilliseconds(storeTime) {
      const smallestOffset = Math.min(offset, previousOffset);
      return Number.isFinite(smallestOffset)
        ? Math.max(0, now() - storeTime - smallestOffset)
        : Infinity;
    },
  };
}
