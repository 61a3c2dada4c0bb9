/**
 * Keeps a local copy of one table of the store: lists all rows once, then applies the change feed.
 * Failed calls are retried with exponential backoff and jitter. The table is listed again when the
 * store no longer has the changes needed, and a response older than the local copy counts as a
 * failed call.
 */
import { FeedKind } from './store.js';
import type { RowList, Store, StoreRow } from './store.js';
import type { StoreClock } from './store-clock.js';

export interface FollowTableOptions {
  readonly store: Store;
  readonly table: string;
  readonly part: string;
  /** How long the store may hold a call until there is a change. */
  longPollMilliseconds(): number;
  /** Pause between two calls; limits the calls for tables that change constantly, as calls cost. */
  pauseMilliseconds(): number;
  /** Upper bound of the backoff while calls fail. */
  maximumRetryMilliseconds(): number;
  /** Uniform in [0, 1). */
  readonly random: () => number;
  /**
   * Milliseconds for which this instance still relies on the reads of other instances; 0 if it has
   * to call the store itself.
   */
  delegatedMilliseconds(): number;
  /** Receives the store's time from each response. */
  readonly clock: StoreClock;
  /** Monotonic clock of this instance, in milliseconds. */
  now(): number;
  /** What the copy keeps of a row; all of it if absent. */
  readonly compact?: (row: StoreRow) => StoreRow;
  /** Called with all rows, as of a revision, after every change. */
  onRows(rows: ReadonlyMap<string, StoreRow>, revision: number): void;
  /** Called after each call to the store. */
  onStoreResult(result: StoreCallResult): void;
}

/** Outcome of a call to the store. */
export interface StoreCallResult {
  readonly succeeded: boolean;
  /** Why the call failed; empty after a success. */
  readonly reason: string;
  /** When the call was made: milliseconds of the local clock. */
  readonly requestedAt: number;
}

/** A response of the store showing that the copy was up to date. */
export interface StoreConfirmation {
  /** When the store answered: milliseconds of the store's clock. */
  readonly answeredAt: number;
  /**
   * When the call was made: milliseconds of the local clock. The response cannot be older than
   * that.
   */
  readonly requestedAt: number;
}

/** A local copy of a table that is kept up to date. */
export interface TableFollower {
  start(): void;
  stop(): void;
  /** The current copy; undefined before the first list. */
  copy(): { readonly rows: ReadonlyMap<string, StoreRow>; readonly revision: number } | undefined;
  /** Replaces the copy by that of another instance; returns false if that one is not newer. */
  replaceIfNewer(list: RowList): boolean;
  /** Records that the rows are unchanged up to a later revision. */
  advanceRevision(revision: number): void;
  /** Calls the store as soon as no call is pending, even while other instances read for this one. */
  refresh(): void;
  /** The latest response of the store to this instance; undefined before the first. */
  confirmation(): StoreConfirmation | undefined;
  /** Whether the last call got no usable response. */
  isFailing(): boolean;
}

/** Initial backoff: short, because changes must be seen within 2 s. */
const INITIAL_RETRY_MILLISECONDS = 100;
/** Longest interval between two checks of whether the store must be called after all. */
const DELEGATION_CHECK_MILLISECONDS = 250;

/** Creates a follower of one partition of a table; it makes no calls until `start`. */
export function followTable(options: FollowTableOptions): TableFollower {
  const { store, table, part } = options;
  const rows = new Map<string, StoreRow>();
  let revision = 0;
  let isLoaded = false;
  let stopped = false;
  let failures = 0;
  let confirmation: StoreConfirmation | undefined;
  let timer: NodeJS.Timeout | undefined;
  let isPolling = false;
  let isRefreshRequested = false;

  function setRow(row: StoreRow): void {
    rows.set(row.key, options.compact?.(row) ?? row);
  }

  function recordConfirmation(answeredAt: number, requestedAt: number): void {
    options.clock.observe(answeredAt);
    confirmation = { answeredAt, requestedAt };
  }

  async function loadAllRows(): Promise<void> {
    const requestedAt = options.now();
    const list = await store.list(table, part);
    if (list.revision < revision) throw new Error('the store listed an older revision');
    recordConfirmation(list.answeredAt, requestedAt);
    replaceRows(list);
  }

  function replaceRows(list: RowList): void {
    rows.clear();
    for (const row of list.rows) setRow(row);
    revision = list.revision;
    isLoaded = true;
    options.onRows(rows, revision);
  }

  async function pollChanges(longPollMilliseconds: number): Promise<void> {
    const requestedSince = revision;
    const requestedAt = options.now();
    const feed = await store.feed(table, requestedSince, longPollMilliseconds);
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
      // A copy from another instance arrived during the call and is newer than this response.
      if (revision > requestedSince) return;
      throw new Error('the store sent changes of an older revision');
    }
    recordConfirmation(feed.answeredAt, requestedAt);
    let changed = false;
    for (const row of feed.rows) {
      if (row.part !== part) continue;
      changed = true;
      if (row.value === undefined) rows.delete(row.key);
      else setRow(row);
    }
    revision = feed.revision;
    if (changed) options.onRows(rows, revision);
  }

  /** Calls the store once; returns the milliseconds until the next call. */
  async function callStore(isRefresh: boolean): Promise<number> {
    // A call that the store may hold takes longer to fail, and the store's return is noticed later.
    const isImmediate = isRefresh || failures > 0;
    const requestedAt = options.now();
    try {
      if (isLoaded) await pollChanges(isImmediate ? 0 : options.longPollMilliseconds());
      else await loadAllRows();
      failures = 0;
      options.onStoreResult({ succeeded: true, reason: '', requestedAt });
      return options.pauseMilliseconds();
    } catch (thrown) {
      const reason = thrown instanceof Error ? thrown.message : String(thrown);
      options.onStoreResult({ succeeded: false, reason, requestedAt });
      const maximumInterval = Math.min(
        options.maximumRetryMilliseconds(),
        INITIAL_RETRY_MILLISECONDS * 2 ** Math.min(failures, 6),
      );
      failures += 1;
      const interval = maximumInterval * (0.5 + options.random() / 2);
      // The time that the failed call took is part of the interval.
      return Math.max(0, requestedAt + interval - options.now());
    }
  }

  async function poll(): Promise<void> {
    const isRefresh = isRefreshRequested;
    isRefreshRequested = false;
    const delegatedFor = isLoaded && !isRefresh ? options.delegatedMilliseconds() : 0;
    if (delegatedFor > 0) {
      failures = 0;
      schedule(Math.min(delegatedFor, DELEGATION_CHECK_MILLISECONDS));
      return;
    }
    isPolling = true;
    const pause = await callStore(isRefresh);
    isPolling = false;
    schedule(isRefreshRequested ? 0 : pause);
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
    refresh() {
      isRefreshRequested = true;
      if (isPolling || stopped) return;
      clearTimeout(timer);
      void poll();
    },
    confirmation: () => confirmation,
    isFailing: () => failures > 0,
  };
}
