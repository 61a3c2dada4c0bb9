/**
 * This entry's share of what a cold backend server bears. A server may turn cold at any moment
 * and says so late, and far above its cold rate it crashes. So every server of a service with
 * a cold phase is treated as cold: its rate in any second, divided among the entries, is more
 * than even loads need, and no late message can break it.
 *
 * Where there are more entries than a server bears requests a second, one request each would
 * be too many. Then each server is sent to only by as many entries, by rendezvous: everybody
 * finds the same ones without asking, and another set for each server.
 */
import { createSenderRanks } from './sender-rank.js';
import type { SendingEntries } from './sender-rank.js';

export interface ColdStartShare {
  /**
   * Milliseconds until one more request may be sent: 0 for now, infinite where this entry is not
   * to send to the server at all.
   */
  roomInMilliseconds(instanceId: string, coldRequestsPerSecond: number): number;
  /** Number of entries that may send to a server, this one included or not. */
  senderCount(coldRequestsPerSecond: number): number;
  recordSent(instanceId: string): void;
  /** Forgets servers that are gone. */
  keepOnly(instanceIds: ReadonlyMap<string, unknown>): void;
}

const WINDOW_MILLISECONDS = 1000;
/**
 * Part of a server's places that is given out where entries outnumber them. Entries that have just
 * started know some of the others, each another part, and find themselves among the first too often.
 */
const ALLOCATED_SHARE = 0.6;

function allowedSendersAt(coldRequestsPerSecond: number): number {
  return Math.max(1, Math.floor(coldRequestsPerSecond * ALLOCATED_SHARE));
}

export function createColdStartShare(
  entries: () => SendingEntries,
  now: () => number,
): ColdStartShare {
  const sent = new Map<string, number[]>();
  const ranks = createSenderRanks();

  function sendsInWindow(instanceId: string): number[] {
    const times = sent.get(instanceId) ?? [];
    const from = now() - WINDOW_MILLISECONDS;
    while ((times[0] ?? Infinity) < from) times.shift();
    return times;
  }

  /** Requests that this entry may send to the server in one second. */
  function ownRequestsPerSecond(instanceId: string, coldRequestsPerSecond: number): number {
    const known = entries();
    const share = Math.floor(coldRequestsPerSecond / Math.max(1, known.count));
    if (share >= 1) return share;
    return ranks.rankAt(instanceId, known) < allowedSendersAt(coldRequestsPerSecond) ? 1 : 0;
  }

  return {
    senderCount(coldRequestsPerSecond) {
      const { count } = entries();
      const mayAllSend = coldRequestsPerSecond <= 0 || coldRequestsPerSecond >= count;
      return mayAllSend ? count : allowedSendersAt(coldRequestsPerSecond);
    },
    roomInMilliseconds(instanceId, coldRequestsPerSecond) {
      if (coldRequestsPerSecond <= 0) return 0;
      const share = ownRequestsPerSecond(instanceId, coldRequestsPerSecond);
      if (share === 0) return Infinity;
      const times = sendsInWindow(instanceId);
      if (times.length < share) return 0;
      const expiringSentAt = times[times.length - share] ?? now();
      return Math.max(1, expiringSentAt + WINDOW_MILLISECONDS - now());
    },
    recordSent(instanceId) {
      const times = sendsInWindow(instanceId);
      times.push(now());
      sent.set(instanceId, times);
    },
    keepOnly(instanceIds) {
      for (const instanceId of sent.keys()) {
        // A server may be missing from the list for a moment; what it got in this second counts.
        const isIdle = sendsInWindow(instanceId).length === 0;
        if (isIdle && !instanceIds.has(instanceId)) sent.delete(instanceId);
      }
      ranks.keepOnly(instanceIds);
    },
  };
}
