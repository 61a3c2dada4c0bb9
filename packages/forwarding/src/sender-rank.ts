/**
 * Ranks the entries that may send to a backend server whose bound they share. Rendezvous hashing
 * gives all entries the same order without a message, and another order for each server.
 */
import { rendezvousOrder } from '@lapisbridge/routing';

/** The entries that share a bound. */
export interface SendingEntries {
  readonly own: string;
  /** All that are known, this one included; a new list whenever it changes. */
  readonly names: readonly string[];
  /** Entries to be reckoned with, where not all of them are known yet. */
  readonly count: number;
}

export interface SenderRanks {
  /** Place of this entry among those that may send to the server, from 0. */
  rankAt(instanceId: string, entries: SendingEntries): number;
  /** Forgets servers that are gone. */
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
        // Named by each entry for itself: with the same names all would be among the first together.
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
