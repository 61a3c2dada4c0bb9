/**
 * Queue of updates to piggyback on gossip messages. Each update is sent on a number of messages
 * that grows with the logarithm of the fleet's size, least-sent updates first. This spreads it
 * to all members at a fixed cost per message.
 */
import type { MemberUpdate } from './member-table.js';

const RETRANSMIT_MULTIPLIER = 3;

export interface UpdateQueue {
  readonly size: number;
  /** Queues an update; replaces an earlier one of the same member. */
  add(update: MemberUpdate): void;
  /** Takes up to `count` updates for the next message; `fleetSize` is the number of members. */
  take(count: number, fleetSize: number): readonly MemberUpdate[];
}

interface QueuedUpdate {
  readonly update: MemberUpdate;
  transmissions: number;
}

export function createUpdateQueue(): UpdateQueue {
  const queued = new Map<string, QueuedUpdate>();
  return {
    get size() {
      return queued.size;
    },
    add(update) {
      queued.set(update.record.instanceId, { update, transmissions: 0 });
    },
    take(count, fleetSize) {
      const limit = Math.ceil(RETRANSMIT_MULTIPLIER * Math.log2(fleetSize + 2));
      const leastSentFirst = [...queued.values()];
      leastSentFirst.sort((left, right) => left.transmissions - right.transmissions);
      const selected = leastSentFirst.slice(0, count);
      for (const entry of selected) {
        entry.transmissions += 1;
        if (entry.transmissions >= limit) queued.delete(entry.update.record.instanceId);
      }
      return selected.map(({ update }) => update);
    },
  };
}
