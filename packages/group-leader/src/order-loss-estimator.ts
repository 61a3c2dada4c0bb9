/**
 * How many orders got no answer of late, and how many times an order must be expected to be given
 * until all ranks have it. A hold is planned so far ahead that the group does not reach it before.
 */
export interface OrderLossEstimator {
  record(sent: number, unanswered: number): void;
  /** Times that one order goes out until most likely every rank has taken it; 1 without losses. */
  expectedRounds(ranks: number): number;
}

/** Age at which an order counts for about a third. */
const DECAY_MILLISECONDS = 6000;
/** Below this share losses are chance: a whole round for them would keep the old map for longer. */
const MINIMUM_LOSS_RATIO = 0.02;
/** Ranks, on average over many batches, that may be left without the order after these rounds. */
const TOLERATED_MISSED_RANKS = 0.2;
const MAXIMUM_ROUNDS = 5;

export function createLossEstimator(now: () => number): OrderLossEstimator {
  let sent = 0;
  let unanswered = 0;
  let decayedAt = now();

  function decay(): void {
    const factor = Math.exp((decayedAt - now()) / DECAY_MILLISECONDS);
    decayedAt = now();
    sent *= factor;
    unanswered *= factor;
  }

  return {
    record(newSent, newUnanswered) {
      decay();
      sent += newSent;
      unanswered += newUnanswered;
    },
    expectedRounds(ranks) {
      decay();
      const lossRatio = sent === 0 ? 0 : unanswered / sent;
      if (lossRatio < MINIMUM_LOSS_RATIO) return 1;
      const expectedRounds =
        Math.log(ranks / TOLERATED_MISSED_RANKS) / Math.log(1 / Math.min(lossRatio, 0.9));
      return Math.min(MAXIMUM_ROUNDS, Math.max(1, Math.ceil(expectedRounds)));
    },
  };
}
