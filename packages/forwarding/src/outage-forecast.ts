/**
 * How likely a lock-step group that stands still runs again within a time, from how long its
 * outages lasted before. Until some were seen, outages of one to six seconds are assumed, as ranks
 * that are replaced, restart or are cut off for a while make them. What was seen soon outweighs
 * that; an outage that is longer than all of these is expected to last about as long again. Pure
 * but for the lengths it remembers.
 */
export interface OutageForecast {
  /** Notes that an outage of this length has ended. */
  note(milliseconds: number): void;
  /**
   * Chance, 0 to 1, that an outage that has lasted for `ageMilliseconds` ends within the time. An
   * infinite age is one that is not known.
   */
  chanceWithin(ageMilliseconds: number, withinMilliseconds: number): number;
}

const ASSUMED_MILLISECONDS: readonly number[] = [1000, 2000, 3000, 4000, 5000, 6000];
/** Each assumed outage counts as half of one that was seen. */
const ASSUMED_WEIGHT = 0.5;
/** Outages remembered: the conditions of a deployment change within hours. */
const MAXIMUM_REMEMBERED = 16;
/** One outage of any length, however long: half of such last for longer than this. */
const LONG_MILLISECONDS = 3000;
/** Chance for an outage of unknown age. */
const UNKNOWN_AGE_CHANCE = 0.5;

export function createOutageForecast(): OutageForecast {
  const seen: number[] = [];

  /** Weight of all outages that last longer than the time. */
  function weightBeyond(milliseconds: number): number {
    let weight = LONG_MILLISECONDS / (LONG_MILLISECONDS + milliseconds);
    for (const length of ASSUMED_MILLISECONDS) {
      if (length > milliseconds) weight += ASSUMED_WEIGHT;
    }
    for (const length of seen) {
      if (length > milliseconds) weight += 1;
    }
    return weight;
  }

  return {
    note(milliseconds) {
      seen.push(milliseconds);
      if (seen.length > MAXIMUM_REMEMBERED) seen.shift();
    },
    chanceWithin(ageMilliseconds, withinMilliseconds) {
      if (!Number.isFinite(ageMilliseconds)) return UNKNOWN_AGE_CHANCE;
      const beyond = weightBeyond(ageMilliseconds + withinMilliseconds);
      return 1 - beyond / weightBeyond(ageMilliseconds);
    },
  };
}
