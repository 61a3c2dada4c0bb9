/**
 * Who of a zone's entries reads the store for the others. A call to the store costs, whoever
 * makes it; with every entry following every table the calls grow with the fleet (3,040 in a
 * calm day of 39 entries, 4% of its worth). So two entries a zone follow the servers' table, whose
 * rows change all the time, and tell the others which revision they have; these fetch a copy
 * from them when it is newer. Whoever hears no reader that is up to date reads the store itself,
 * so a zone that is cut off from the others, or entries cut off from their readers, lose nothing.
 */

import { isObject, numberOf } from '@lapisbridge/json-call';

/** What an entry tells others of its copy of a table. */
export interface CopyWord {
  /** Revision of the newest row that matters: heartbeats of servers do not. */
  readonly revision: number;
  /** Whether the store answered it just now, when it last asked. */
  readonly isCurrent: boolean;
}

/** Undefined where it is no such word. */
export function decodeCopyWord(value: unknown): CopyWord | undefined {
  if (!isObject(value)) return undefined;
  const revision = numberOf(value, 'revision');
  return revision === undefined ? undefined : { revision, isCurrent: value.isCurrent === true };
}

export interface LivingEntries {
  /** Other entries of the own zone. */
  readonly inZone: readonly string[];
  /** All others. */
  readonly count: number;
}

export interface ReaderWatch {
  /** Takes what an entry of the own zone tells. */
  heard(entry: string, word: CopyWord): void;
  /** Whether this entry is to read the store itself, given the others that live. */
  isReader(living: LivingEntries): boolean;
  /** Milliseconds since an entry that is up to date said it knew nothing newer than this. */
  sinceConfirmed(revision: number): number;
}

/**
 * Below this many entries all read: there the calls cost under 1% of a day's worth, less than
 * what is risked by hearing of a leaving server half a second later.
 */
const LARGE_FLEET = 12;
/** One may be frozen, and is not missed until its word has lapsed. */
const READERS_PER_ZONE = 2;

export function createReaderWatch(ownId: string, now: () => number): ReaderWatch {
  const words = new Map<string, { readonly word: CopyWord; readonly at: number }>();
  return {
    heard(entry, word) {
      words.set(entry, { word, at: now() });
    },
    isReader({ inZone, count }) {
      if (count < LARGE_FLEET) return true;
      let before = 0;
      for (const entry of inZone) if (entry < ownId) before += 1;
      return before < READERS_PER_ZONE;
    },
    sinceConfirmed(revision) {
      let latest = -Infinity;
      for (const { word, at } of words.values()) {
        if (!word.isCurrent) continue;
        // Until the newer copy is fetched nobody's word says that this one is up to date.
        if (word.revision > revision) return Infinity;
        latest = Math.max(latest, at);
      }
      return now() - latest;
    },
  };
}
