/**
 * Updates that still have to be passed on. Each rides on a number of messages that grows
 * with the logarithm of the fleet's size, least-sent first, which spreads it to everyone
 * with a fixed cost per message.
 */
import type { MemberUpdate } from './member-table.js';

const TRANSMISSIONS_FACTOR = 3;

export interface UpdateQueue {
  readonly size: number;
  add(update: MemberUpdate): void;
  /** Up to `count` updates for the next message to a fleet of `fleetSize`. */
  take(count: number, fleetSize: number): readonly MemberUpdate[];
}

interface Pending {
  readonly update: MemberUpdate;
  sent: number;
}

export function createUpdateQueue(): UpdateQueue {
  const pending = new Map<string, Pending>();
  return {
    get size() {
      return pending.size;
    },
    add(update) {
      pending.set(update.record.instanceId, { update, sent: 0 });
    },
    take(count, fleetSize) {
      const limit = Math.ceil(TRANSMISSIONS_FACTOR * Math.log2(fleetSize + 2));
      const waiting = [...pending.values()];
      waiting.sort((left, right) => left.sent - right.sent);
      const taken = waiting.slice(0, count);
      for (const one of taken) {
        one.sent += 1;
        if (one.sent >= limit) pending.delete(one.update.record.instanceId);
      }
      return taken.map(({ update }) => update);
    },
  };
}
