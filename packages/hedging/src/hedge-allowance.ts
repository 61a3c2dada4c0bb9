/**
 * This entry's part of the limit on the duplicates of one service: the operators' share of the
 * requests that it received itself in the last window. The parts of all entries add up to the
 * limit, whatever their number and however callers are spread over them, without messages between
 * entries. Answers the load of many entries that see the same slow server at once.
 */
import type { HedgeLimit } from './hedge-budget.js';

export interface HedgeAllowance {
  recordRequest(limit: HedgeLimit): void;
  tryTake(limit: HedgeLimit): boolean;
  refund(): void;
}

/** Counts are kept by slots of the window, so that memory does not grow with the traffic. */
const SLOTS_PER_WINDOW = 20;
/** The oldest slot is partly outside of the window; its duplicates still count. */
const SLOTS = SLOTS_PER_WINDOW + 1;

export function createHedgeAllowance(now: () => number): HedgeAllowance {
  let requests: number[] = [];
  let duplicates: number[] = [];
  let newestSlot = -Infinity;
  let slotMilliseconds = 0;

  function sum(counts: readonly number[]): number {
    return counts.reduce((total, count) => total + count, 0);
  }

  /** Moves the counts to the present; the newest slot is the last one. */
  function update({ windowMilliseconds }: HedgeLimit): void {
    if (slotMilliseconds !== windowMilliseconds / SLOTS_PER_WINDOW) {
      // With another window, earlier requests earn nothing.
      slotMilliseconds = windowMilliseconds / SLOTS_PER_WINDOW;
      requests = new Array<number>(SLOTS).fill(0);
      const sent = sum(duplicates);
      duplicates = new Array<number>(SLOTS).fill(0);
      duplicates[SLOTS - 1] = sent;
      newestSlot = Math.floor(now() / slotMilliseconds);
      return;
    }
    const slot = Math.floor(now() / slotMilliseconds);
    const passed = Math.min(SLOTS, slot - newestSlot);
    newestSlot = slot;
    for (let count = 0; count < passed; count += 1) {
      for (const counts of [requests, duplicates]) {
        counts.shift();
        counts.push(0);
      }
    }
  }

  function add(counts: number[], change: number): void {
    counts[SLOTS - 1] = (counts[SLOTS - 1] ?? 0) + change;
  }

  return {
    recordRequest(limit) {
      update(limit);
      add(requests, 1);
    },
    tryTake(limit) {
      update(limit);
      // Both roundings of the window make the part smaller.
      if (sum(duplicates) + 1 > limit.ratio * sum(requests.slice(1))) return false;
      add(duplicates, 1);
      return true;
    },
    refund() {
      for (let slot = SLOTS - 1; slot >= 0; slot -= 1) {
        const count = duplicates[slot] ?? 0;
        if (count > 0) {
          duplicates[slot] = count - 1;
          return;
        }
      }
    },
  };
}
