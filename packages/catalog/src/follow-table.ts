/**
 * Keeps a copy of one table of the store: read whole once, then followed by its changes. A call
 * that fails is tried again after a pause that grows; a history that is gone is read whole
 * again; a store that answers from behind what is known already is asked again.
 */
import { FeedKind } from './store.js';
import type { RowList, Store, StoreRow } from './store.js';
import type { StoreClock } from './store-clock.js';

export interface FollowOptions {
  readonly store: Store;
  readonly table: string;
  readonly part: string;
  /** How long one call waits at the store for a change. */
  waitMilliseconds(): number;
  /** Pause between two calls, for tables that change all the time: calls are what costs. */
  pauseMilliseconds(): number;
  /** Longest pause between two tries while calls fail. */
  longestRetryMilliseconds(): number;
  readonly random: () => number;
  /** Milliseconds for which other instances read the table for this one; 0 when it has to itself. */
  delegatedMilliseconds(): number;
  /** Told of each answer of the store. */
  readonly clock: StoreClock;
  now(): number;
  /** All rows, as of a revision, whenever something changed. */
  onRows(rows: ReadonlyMap<string, StoreRow>, revision: number): void;
  /** Called after each call. */
  onStoreResult(succeeded: boolean, reason: string): void;
}

/** An answer of the store by which a copy was the newest. */
export interface OwnConfirmation {
  /** When the store gave it: milliseconds of its clock. */
  readonly givenAt: number;
  /** When it was asked for, by the own clock: it cannot be older than that. */
  readonly askedAt: number;
}

export interface TableFollower {
  start(): void;
  stop(): void;
  /** The copy as it stands; undefined before the first read. */
  copy(): { readonly rows: ReadonlyMap<string, StoreRow>; readonly revision: number } | undefined;
  /** Takes another's whole copy when it is newer than this one. */
  adopt(list: RowList): boolean;
  /** Takes note that another has the same rows as of a revision. */
  advance(revision: number): void;
  /** The store's last confirmation of the copy to this instance; undefined before the first. */
  confirmation(): OwnConfirmation | undefined;
  /** Whether the last call got no usable answer. */
  isFailing(): boolean;
}

/** First pause after a failure, in milliseconds: short, since changes must be seen in 2 s. */
const FIRST_RETRY_MILLISECONDS = 100;
/** Longest time between two looks at whether the store has to be asked after all. */
const REST_MILLISECONDS = 250;

export function followTable(options: FollowOptions): TableFollower {
  const { store, table, part } = options;
  const rows = new Map<string, StoreRow>();
  let revision = 0;
  let isWhole = false;
  let stopped = false;
  let failures = 0;
  let confirmation: OwnConfirmation | undefined;
  let timer: NodeJS.Timeout | undefined;

  function confirm(givenAt: number, askedAt: number): void {
    options.clock.observe(givenAt);
    confirmation = { givenAt, askedAt };
  }

  async function readWhole(): Promise<void> {
    const askedAt = options.now();
    const list = await store.list(table, part);
    if (list.revision < revision) throw new Error('the store answers from behind');
    confirm(list.givenAt, askedAt);
    replace(list);
  }

  function replace(list: RowList): void {
    rows.clear();
    for (const row of list.rows) rows.set(row.key, row);
    revision = list.revision;
    isWhole = true;
    options.onRows(rows, revision);
  }

  async function readChanges(): Promise<void> {
    const askedFrom = revision;
    const askedAt = options.now();
    const feed = await store.feed(table, askedFrom, options.waitMilliseconds());
    switch (feed.kind) {
      case FeedKind.HistoryGone:
        isWhole = false;
        await readWhole();
        return;
      case FeedKind.Changes:
        break;
      default: {
        const unreachable: never = feed;
        throw new Error(String(unreachable));
      }
    }
    if (feed.revision < revision) {
      // Another instance's copy came meanwhile, and is newer than this answer.
      if (revision > askedFrom) return;
      throw new Error('the store answers from behind');
    }
    confirm(feed.givenAt, askedAt);
    let changed = false;
    for (const row of feed.rows) {
      if (row.part !== part) continue;
      changed = true;
      if (row.value === undefined) rows.delete(row.key);
      else rows.set(row.key, row);
    }
    revision = feed.revision;
    if (changed) options.onRows(rows, revision);
  }

  async function step(): Promise<void> {
    const rest = isWhole ? options.delegatedMilliseconds() : 0;
    if (rest > 0) {
      failures = 0;
      schedule(Math.min(rest, REST_MILLISECONDS));
      return;
    }
    let pause = options.pauseMilliseconds();
    try {
      if (isWhole) await readChanges();
      else await readWhole();
      failures = 0;
      options.onStoreResult(true, '');
    } catch (thrown) {
      options.onStoreResult(false, thrown instanceof Error ? thrown.message : String(thrown));
      const longest = Math.min(
        options.longestRetryMilliseconds(),
        FIRST_RETRY_MILLISECONDS * 2 ** Math.min(failures, 6),
      );
      failures += 1;
      pause = longest * (0.5 + options.random() / 2);
    }
    schedule(pause);
  }

  function schedule(pause: number): void {
    if (!stopped) timer = setTimeout(() => void step(), pause);
  }

  return {
    start() {
      void step();
    },
    stop() {
      stopped = true;
      clearTimeout(timer);
    },
    copy: () => (isWhole ? { rows, revision } : undefined),
    adopt(list) {
      if (list.revision <= revision) return false;
      replace(list);
      return true;
    },
    advance(to) {
      if (isWhole) revision = Math.max(revision, to);
    },
    confirmation: () => confirmation,
    isFailing: () => failures > 0,
  };
}
