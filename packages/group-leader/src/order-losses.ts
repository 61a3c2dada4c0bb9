/**
 * How many orders got no answer of late, and how many times an order must be expected to be given
 * until all ranks have it. A hold is planned so far ahead that the group does not reach it before.
 */
export interface OrderLosses {
  note(given: number, unanswered: number): void;
  /** Times that one order goes out until most likely every rank has taken it; 1 without losses. */
  rounds(ranks: number): number;
}

/** Age at which an order counts for about a third. */
const WINDOW_MILLISECONDS = 6000;
/** Below this share losses are chance: a whole round for them would keep the old map for longer. */
const FEWEST_LOST_SHARE = 0.02;
/** Ranks, on average over many batches, that may be left without the order after these rounds. */
const LEFT_RANKS = 0.2;
const MOST_ROUNDS = 5;

export function createOrderLosses(now: () => number): OrderLosses {
  let given = 0;
  let unanswered = 0;
  let at = now();

  function decay(): void {
    const factor = Math.exp((at - now()) / WINDOW_MILLISECONDS);
    at = now();
    given *= factor;
    unanswered *= factor;
  }

  return {
    note(givenNow, unansweredNow) {
      decay();
      given += givenNow;
      unanswered += unansweredNow;
    },
    rounds(ranks) {
      decay();
      const share = given === 0 ? 0 : unanswered / given;
      if (share < FEWEST_LOST_SHARE) return 1;
      const rounds = Math.log(ranks / LEFT_RANKS) / Math.log(1 / Math.min(share, 0.9));
      return Math.min(MOST_ROUNDS, Math.max(1, Math.ceil(rounds)));
    },
  };
}
