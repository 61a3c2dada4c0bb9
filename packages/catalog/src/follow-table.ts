/**
 * Keeps a copy of one table of the store: read whole once, then followed by its changes. A call
 * that fails is tried again after a pause that grows; a history that is gone is read whole
 * again; a store that answers from behind what is known already is asked again.
 */
import { FeedKind } from './store.js';
import type { RowList, Store, StoreRow } from './store.js';
import type { StoreClock } from './store-clock.js';

export interface FollowTableOptions {
  readonly store: Store;
  readonly table: string;
  readonly part: string;
  /** How long one call waits at the store for a change. */
  longPollMilliseconds(): number;
  /** Pause between two calls, for tables that change all the time: calls are what costs. */
  pauseMilliseconds(): number;
  /** Longest pause between two tries while calls fail. */
  maximumRetryMilliseconds(): number;
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
export interface StoreConfirmation {
  /** When the store gave it: milliseconds of its clock. */
  readonly answeredAt: number;
  /** When it was asked for, by the own clock: it cannot be older than that. */
  readonly requestedAt: number;
}

export interface TableFollower {
  start(): void;
  stop(): void;
  /** The copy as it stands; undefined before the first read. */
  copy(): { readonly rows: ReadonlyMap<string, StoreRow>; readonly revision: number } | undefined;
  /** Takes another's whole copy when it is newer than this one. */
  replaceIfNewer(list: RowList): boolean;
  /** Takes note that another has the same rows as of a revision. */
  advanceRevision(revision: number): void;
  /** The store's last confirmation of the copy to this instance; undefined before the first. */
  confirmation(): StoreConfirmation | undefined;
  /** Whether the last call got no usable answer. */
  isFailing(): boolean;
}

/** First pause after a failure, in milliseconds: short, since changes must be seen in 2 s. */
const INITIAL_RETRY_MILLISECONDS = 100;
/** Longest time between two looks at whether the store has to be asked after all. */
const DELEGATION_CHECK_MILLISECONDS = 250;

export function followTable(options: FollowTableOptions): TableFollower {
  const { store, table, part } = options;
  const rows = new Map<string, StoreRow>();
  let revision = 0;
  let isLoaded = false;
  let stopped = false;
  let failures = 0;
  let confirmation: StoreConfirmation | undefined;
  let timer: NodeJS.Timeout | undefined;

  function recordConfirmation(answeredAt: number, requestedAt: number): void {
    options.clock.observe(answeredAt);
    confirmation = { answeredAt, requestedAt };
  }

  async function loadAllRows(): Promise<void> {
    const requestedAt = options.now();
    const list = await store.list(table, part);
    if (list.revision < revision) throw new Error('the store answers from behind');
    recordConfirmation(list.answeredAt, requestedAt);
    replaceRows(list);
  }

  function replaceRows(list: RowList): void {
    rows.clear();
    for (const row of list.rows) rows.set(row.key, row);
    revision = list.revision;
    isLoaded = true;
    options.onRows(rows, revision);
  }

  async function pollChanges(): Promise<void> {
    const requestedSince = revision;
    const requestedAt = options.now();
    const feed = await store.feed(table, requestedSince, options.longPollMilliseconds());
    switch (feed.kind) {
      case FeedKind.HistoryGone:
        isLoaded = false;
        await loadAllRows();
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
      if (revision > requestedSince) return;
      throw new Error('the store answers from behind');
    }
    recordConfirmation(feed.answeredAt, requestedAt);
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

  async function poll(): Promise<void> {
    const delegatedFor = isLoaded ? options.delegatedMilliseconds() : 0;
    if (delegatedFor > 0) {
      failures = 0;
      schedule(Math.min(delegatedFor, DELEGATION_CHECK_MILLISECONDS));
      return;
    }
    let pause = options.pauseMilliseconds();
    try {
      if (isLoaded) await pollChanges();
      else await loadAllRows();
      failures = 0;
      options.onStoreResult(true, '');
    } catch (thrown) {
      options.onStoreResult(false, thrown instanceof Error ? thrown.message : String(thrown));
      const maximumPause = Math.min(
        options.maximumRetryMilliseconds(),
        INITIAL_RETRY_MILLISECONDS * 2 ** Math.min(failures, 6),
      );
      failures += 1;
      pause = maximumPause * (0.5 + options.random() / 2);
    }
    schedule(pause);
  }

  function schedule(pause: number): void {
    if (!stopped) timer = setTimeout(() => void poll(), pause);
  }

  return {
    start() {
      void poll();
    },
    stop() {
      stopped = true;
      clearTimeout(timer);
    },
    copy: () => (isLoaded ? { rows, revision } : undefined),
    replaceIfNewer(list) {
      if (list.revision <= revision) return false;
      replaceRows(list);
      return true;
    },
    advanceRevision(newRevision) {
      if (isLoaded) revision = Math.max(revision, newRevision);
    },
    confirmation: () => confirmation,
    isFailing: () => failures > 0,
  };
}
