/**
 * How many requests a second this entry takes for each service, of late. Callers are spread over
 * the entries by a hash, so the own rate tells roughly what the others take.
 */
export interface ArrivalMeter {
  note(service: string): void;
  perSecond(service: string): number;
}

/** Age at which a request counts for about a third: a few seconds of a calm service. */
const WINDOW_MILLISECONDS = 2000;

interface Rate {
  /** Decayed number of requests. */
  count: number;
  at: number;
}

export function createArrivalMeter(now: () => number): ArrivalMeter {
  const rates = new Map<string, Rate>();

  function countNow({ count, at }: Rate): number {
    return count * Math.exp((at - now()) / WINDOW_MILLISECONDS);
  }

  return {
    note(service) {
      const rate = rates.get(service);
      rates.set(service, { count: (rate === undefined ? 0 : countNow(rate)) + 1, at: now() });
    },
    perSecond(service) {
      const rate = rates.get(service);
      return rate === undefined ? 0 : (countNow(rate) * 1000) / WINDOW_MILLISECONDS;
    },
  };
}
