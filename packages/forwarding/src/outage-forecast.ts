/**
 * Estimates how likely a stopped lock-step group is to run again within a given time, from the
 * durations of its earlier outages. Until some are recorded, a shifted exponential distribution is
 * assumed as the prior: a rank that died, restarts or was disconnected is away for a minimum time,
 * and then returns with the same probability in each second. Recorded outages soon outweigh the
 * prior. Pure except for the recorded durations.
 */
export interface OutageForecast {
  /** Records the duration of an outage that has ended. */
  recordOutage(milliseconds: number): void;
  /**
   * Probability, 0 to 1, that an outage that has lasted for `ageMilliseconds` ends within
   * `withinMilliseconds`. An infinite age stands for an unknown one.
   */
  chanceOfEnd(ageMilliseconds: number, withinMilliseconds: number): number;
  /** Milliseconds within which an outage of this age ends in most cases. */
  likelyEndMilliseconds(ageMilliseconds: number): number;
}

/** Weight of the prior, as a number of recorded outages. */
const PRIOR_OUTAGES = 3;
/** Prior: the shortest duration, and by how much outages exceed it on average. */
const PRIOR_MINIMUM_MILLISECONDS = 2000;
const PRIOR_MEAN_EXCESS_MILLISECONDS = 3000;
/** Number of outages kept: the conditions of a deployment change within hours. */
const MAXIMUM_RECORDED = 16;
/** Probability for an outage of unknown age. */
const UNKNOWN_AGE_CHANCE = 0.5;
/** Probability that counts as likely: seven of ten cases. */
const LIKELY_CHANCE = 0.7;
/** Step and upper limit of the search for a likely time. */
const STEP_MILLISECONDS = 100;
const MAXIMUM_LIKELY_MILLISECONDS = 30_000;

/** Share of outages that last longer than this according to the prior. */
function priorShareBeyond(milliseconds: number): number {
  const longer = Math.max(0, milliseconds - PRIOR_MINIMUM_MILLISECONDS);
  return Math.exp(-longer / PRIOR_MEAN_EXCESS_MILLISECONDS);
}

export function createOutageForecast(): OutageForecast {
  const seen: number[] = [];

  /** Weight of all outages, assumed and recorded, that last longer than this. */
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
    // After minutes hardly any weight remains, and its quotient would not be a valid probability.
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
