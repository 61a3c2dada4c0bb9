/**
 * Ranks the entries that share the limit of a backend server. With rendezvous hashing all entries
 * compute the same order without communication, and each server has a different order.
 */
import { rendezvousOrder } from '@lapisbridge/routing';

/** The entries that share a limit. */
export interface SendingEntries {
  readonly own: string;
  /** Names of all known entries, this one included; a new array whenever it changes. */
  readonly names: readonly string[];
  /**
   * Number of entries to assume, which is larger than the number of names while not all are known.
   */
  readonly count: number;
  /**
   * Whether all entries that were known lately are known now, and there was time to discover them;
   * false if absent.
   */
  readonly isComplete?: boolean;
}

export interface SenderRanks {
  /** Rank of this entry among the entries that may send to the server, from 0. */
  rankAt(instanceId: string, entries: SendingEntries): number;
  /** Drops the state of servers that are no longer listed. */
  keepOnly(instanceIds: ReadonlyMap<string, unknown>): void;
}

export function createSenderRanks(): SenderRanks {
  let rankedNames: readonly string[] = [];
  let rankedCount = 0;
  const ranks = new Map<string, number>();

  return {
    rankAt(instanceId, { own, names, count }) {
      if (names !== rankedNames || count !== rankedCount) {
        rankedNames = names;
        rankedCount = count;
        ranks.clear();
      }
      let rank = ranks.get(instanceId);
      if (rank === undefined) {
        const unknownCount = Math.max(0, count - names.length);
        // Each entry derives the placeholders from its own name: with shared placeholders all
        // entries would rank first at the same time.
        const placeholders = Array.from({ length: unknownCount }, (_, index) => `${own} ${index}`);
        rank = rendezvousOrder(instanceId, [...names, ...placeholders]).indexOf(own);
        ranks.set(instanceId, rank);
      }
      return rank;
    },
    keepOnly(instanceIds) {
      for (const instanceId of ranks.keys()) {
        if (!instanceIds.has(instanceId)) ranks.delete(instanceId);
      }
    },
  };
}
