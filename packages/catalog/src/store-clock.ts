/**
 * Estimates the age of a response by the store's own clock. A response may be delayed in the
 * network, in a paused process or by an instance that relays it. If it were dated by its arrival,
 * it would look newer after each delay, and instances that confirm each other's copies would
 * consider them fresh forever. The clock offset is that of the least delayed response.
 */

/** Times are milliseconds of the store's monotonic clock. */
export interface StoreClock {
  /** Records a time of the store's clock that has already passed. */
  observe(storeTime: number): void;
  /** Milliseconds since that time; `Infinity` before any time was observed. */
  ageMilliseconds(storeTime: number): number;
  /** The store's time at a time of the local clock; undefined before any time was observed. */
  storeTimeAt(localTime: number): number | undefined;
}

/** The offset is measured anew after each window, because clocks drift. */
const OFFSET_WINDOW_MILLISECONDS = 60_000;

/** Creates an estimator; `now` is the local monotonic clock in milliseconds. */
export function createStoreClock(now: () => number): StoreClock {
  /** Local clock minus the store's clock, as of the least delayed response of the window. */
  let offset = Infinity;
  let previousOffset = Infinity;
  let windowStartedAt = now();

  function smallestOffset(): number {
    return Math.min(offset, previousOffset);
  }

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
      return Number.isFinite(smallestOffset())
        ? Math.max(0, now() - storeTime - smallestOffset())
        : Infinity;
    },
    storeTimeAt: (localTime) =>
      Number.isFinite(smallestOffset()) ? localTime - smallestOffset() : undefined,
  };
}
