/**
 * How likely a lock-step group that stands still runs again within a time, from how long its
 * outages lasted before. Until some were seen it is assumed that a rank which died, restarts or was
 * cut off is away for a while, and comes back with the same chance in each second from then on.
 * What was seen soon outweighs that. Pure but for the lengths it remembers.
 */
export interface OutageForecast {
  /** Notes that an outage of this length has ended. */
  recordOutage(milliseconds: number): void;
  /**
   * Chance, 0 to 1, that an outage that has lasted for `ageMilliseconds` ends within the time. An
   * infinite age is one that is not known.
   */
  chanceOfEnd(ageMilliseconds: number, withinMilliseconds: number): number;
  /** Milliseconds within which an outage of this age ends in most cases. */
  likelyEndMilliseconds(ageMilliseconds: number): number;
}

/** The assumption counts as much as so many outages that were seen. */
const PRIOR_OUTAGES = 3;
/** Assumed length of the shortest, and how much longer they last on average. */
const PRIOR_MINIMUM_MILLISECONDS = 2000;
const PRIOR_MEAN_EXCESS_MILLISECONDS = 3000;
/** Outages remembered: the conditions of a deployment change within hours. */
const MAXIMUM_RECORDED = 16;
/** Chance for an outage of unknown age. */
const UNKNOWN_AGE_CHANCE = 0.5;
/** What is likely: in seven of ten cases. */
const LIKELY_CHANCE = 0.7;
/** Fineness and end of the search for a likely time. */
const STEP_MILLISECONDS = 100;
const MAXIMUM_LIKELY_MILLISECONDS = 30_000;

/** Assumed share of outages that last longer than the time. */
function priorShareBeyond(milliseconds: number): number {
  const longer = Math.max(0, milliseconds - PRIOR_MINIMUM_MILLISECONDS);
  return Math.exp(-longer / PRIOR_MEAN_EXCESS_MILLISECONDS);
}

export function createOutageForecast(): OutageForecast {
  const seen: number[] = [];

  /** Weight of all outages that last longer than the time. */
  function weightBeyond(milliseconds: number): number {
    let weight = PRIOR_OUTAGES * priorShareBeyond(milliseconds);
    for (const length of seen) {
      if (length > milliseconds) weight += 1;
    }
    return weight;
  }

  function chanceOfEnd(ageMilliseconds: number, withinMilliseconds: number): number {
    if (!Number.isFinite(ageMilliseconds)) return UNKNOWN_AGE_CHANCE;
    const now = weightBeyond(ageMilliseconds);
    // After minutes hardly any outage is expected to last longer still; the chance stays a chance.
    if (now < Number.EPSILON) return UNKNOWN_AGE_CHANCE;
    return 1 - weightBeyond(ageMilliseconds + withinMilliseconds) / now;
  }

  return {
    recordOutage(milliseconds) {
      seen.push(milliseconds);
      if (seen.length > MAXIMUM_RECORDED) seen.shift();
    },
    chanceOfEnd,
    likelyEndMilliseconds(ageMilliseconds) {
      const age = Number.isFinite(ageMilliseconds) ? ageMilliseconds : 0;
      let within = STEP_MILLISECONDS;
      while (within < MAXIMUM_LIKELY_MILLISECONDS && chanceOfEnd(age, within) < LIKELY_CHANCE) {
        within += STEP_MILLISECONDS;
      }
      return within;
    },
  };
}
