/**
 * How many requests a second this entry takes for each service, of late. Callers are spread over
 * the entries by a hash, so the own rate tells roughly what the others take.
 */
export interface ArrivalMeter {
  recordArrival(service: string): void;
  arrivalsPerSecond(service: string): number;
}

/** Age at which a request counts for about a third: a few seconds of a calm service. */
const DECAY_MILLISECONDS = 2000;

interface DecayedCount {
  /** Decayed number of requests. */
  count: number;
  at: number;
}

export function createArrivalMeter(now: () => number): ArrivalMeter {
  const rates = new Map<string, DecayedCount>();

  function decayedCount({ count, at }: DecayedCount): number {
    return count * Math.exp((at - now()) / DECAY_MILLISECONDS);
  }

  return {
    recordArrival(service) {
      const rate = rates.get(service);
      rates.set(service, { count: (rate === undefined ? 0 : decayedCount(rate)) + 1, at: now() });
    },
    arrivalsPerSecond(service) {
      const rate = rates.get(service);
      return rate === undefined ? 0 : (decayedCount(rate) * 1000) / DECAY_MILLISECONDS;
    },
  };
}
