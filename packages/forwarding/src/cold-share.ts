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
import { rendezvousOrder } from '@lapisbridge/routing';

export interface ColdShare {
  /**
   * Milliseconds until one more request may be sent: 0 for now, infinite where this entry is not
   * to send to the server at all.
   */
  roomIn(instanceId: string, coldRequestsPerSecond: number): number;
  noteSent(instanceId: string): void;
  /** Forgets servers that are gone. */
  keepOnly(instanceIds: ReadonlyMap<string, unknown>): void;
}

/** The entries that share a server's cold rate. */
export interface ColdEntries {
  readonly own: string;
  /** All that are known, this one included; a new list whenever it changes. */
  readonly names: readonly string[];
  /** Entries to be reckoned with, where not all of them are known yet. */
  readonly count: number;
}

const WINDOW_MILLISECONDS = 1000;

export function createColdShare(entries: () => ColdEntries, now: () => number): ColdShare {
  const sent = new Map<string, number[]>();
  let ranked: readonly string[] = [];
  const ranks = new Map<string, number>();

  function recent(instanceId: string): number[] {
    const times = sent.get(instanceId) ?? [];
    const from = now() - WINDOW_MILLISECONDS;
    while ((times[0] ?? Infinity) < from) times.shift();
    return times;
  }

  /** Place of this entry among those that may send to a server. */
  function rankAt(instanceId: string, { own, names }: ColdEntries): number {
    if (names !== ranked) {
      ranked = names;
      ranks.clear();
    }
    let rank = ranks.get(instanceId);
    if (rank === undefined) {
      rank = rendezvousOrder(instanceId, names).indexOf(own);
      ranks.set(instanceId, rank);
    }
    return rank;
  }

  /** Requests that this entry may send to the server in one second. */
  function shareOf(instanceId: string, coldRequestsPerSecond: number): number {
    const known = entries();
    const share = Math.floor(coldRequestsPerSecond / Math.max(1, known.count));
    if (share >= 1) return share;
    // Those that are not known yet take their part of the places.
    const places = (coldRequestsPerSecond * known.names.length) / Math.max(1, known.count);
    return rankAt(instanceId, known) < Math.max(1, Math.floor(places)) ? 1 : 0;
  }

  return {
    roomIn(instanceId, coldRequestsPerSecond) {
      if (coldRequestsPerSecond <= 0) return 0;
      const share = shareOf(instanceId, coldRequestsPerSecond);
      if (share === 0) return Infinity;
      const times = recent(instanceId);
      if (times.length < share) return 0;
      const freeing = times[times.length - share] ?? now();
      return Math.max(1, freeing + WINDOW_MILLISECONDS - now());
    },
    noteSent(instanceId) {
      const times = recent(instanceId);
      times.push(now());
      sent.set(instanceId, times);
    },
    keepOnly(instanceIds) {
      for (const instanceId of sent.keys()) {
        // A server may be missing from the list for a moment; what it got in this second counts.
        const isIdle = recent(instanceId).length === 0;
        if (isIdle && !instanceIds.has(instanceId)) sent.delete(instanceId);
      }
      for (const instanceId of ranks.keys()) {
        if (!instanceIds.has(instanceId)) ranks.delete(instanceId);
      }
    },
  };
}
