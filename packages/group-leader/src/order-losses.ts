/**
 * Estimates the recent loss rate of orders and, from it, how many times an order has to be sent
 * until all ranks have it. A hold is planned that far ahead, so that the group does not reach its
 * step before every rank is ready.
 */
export interface OrderLossEstimator {
  record(sent: number, unanswered: number): void;
  /**
   * Expected number of sends until most likely every rank has accepted an order; 1 without losses.
   */
  expectedRounds(ranks: number): number;
}

/** Time constant of the decay: after it an order has 37% of its weight. */
const DECAY_MILLISECONDS = 6000;
/**
 * Losses below this ratio are treated as chance, because planning another round for them would keep
 * the old map active for longer.
 */
const MINIMUM_LOSS_RATIO = 0.02;
/** Mean number of ranks that may still be without the order after these rounds. */
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
