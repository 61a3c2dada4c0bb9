/**
 * Measures how many requests per second this entry receives for each service, as an exponentially
 * decaying average.
 */
export interface ArrivalMeter {
  recordArrival(service: string): void;
  arrivalsPerSecond(service: string): number;
}

/**
 * Age at which a request counts for about a third (1/e): a few seconds of a service at low load.
 */
const DECAY_MILLISECONDS = 2000;

interface DecayedCount {
  /** Number of requests, decayed until `at`. */
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
