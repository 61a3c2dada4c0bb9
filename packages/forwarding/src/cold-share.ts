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
/**
 * Part of a server's places that is given out where entries outnumber them. Entries that have just
 * started know some of the others, each another part, and find themselves among the first too often.
 */
const GIVEN_SHARE = 0.6;

export function createColdShare(entries: () => ColdEntries, now: () => number): ColdShare {
  const sent = new Map<string, number[]>();
  let ranked: readonly string[] = [];
  let rankedCount = 0;
  const ranks = new Map<string, number>();

  function recent(instanceId: string): number[] {
    const times = sent.get(instanceId) ?? [];
    const from = now() - WINDOW_MILLISECONDS;
    while ((times[0] ?? Infinity) < from) times.shift();
    return times;
  }

  /** Place of this entry among those that may send to a server; whoever is not known has one too. */
  function rankAt(instanceId: string, { own, names, count }: ColdEntries): number {
    if (names !== ranked || count !== rankedCount) {
      ranked = names;
      rankedCount = count;
      ranks.clear();
    }
    let rank = ranks.get(instanceId);
    if (rank === undefined) {
      const missing = Math.max(0, count - names.length);
      // Named by each entry for itself: with the same names all would be among the first together.
      const unknown = Array.from({ length: missing }, (_, index) => `${own} ${index}`);
      rank = rendezvousOrder(instanceId, [...names, ...unknown]).indexOf(own);
      ranks.set(instanceId, rank);
    }
    return rank;
  }

  /** Requests that this entry may send to the server in one second. */
  function shareOf(instanceId: string, coldRequestsPerSecond: number): number {
    const known = entries();
    const share = Math.floor(coldRequestsPerSecond / Math.max(1, known.count));
    if (share >= 1) return share;
    const places = Math.max(1, Math.floor(coldRequestsPerSecond * GIVEN_SHARE));
    return rankAt(instanceId, known) < places ? 1 : 0;
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
