import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';

import { followTable } from './follow-table.js';
import type { TableFollower } from './follow-table.js';
import { createStoreClock } from './store-clock.js';
import type { StoreClock } from './store-clock.js';
import { FeedKind } from './store.js';
import type { Feed, RowList, Store, StoreRow } from './store.js';

function row(key: string, revision: number): StoreRow {
  return { table: 'table', part: '', key, value: Buffer.from(key), revision };
}

/** Starts a follower with a copy at revision 1; the test answers its calls for changes. */
async function startFollowing(): Promise<{
  readonly follower: TableFollower;
  /** Clock of the process; the store's clock shows the same time in these tests. */
  readonly time: { now: number };
  readonly clock: StoreClock;
  readonly keys: () => string[];
  /** Answers the pending call for changes, as of a time of the store's clock. */
  answer(list: RowList, answeredAt: number): Promise<void>;
}> {
  const time = { now: 0 };
  const clock = createStoreClock(() => time.now);
  const calls: ((feed: Feed) => void)[] = [];
  const store: Store = {
    list: async () => ({ rows: [row('first', 1)], revision: 1, answeredAt: time.now }),
    feed: () =>
      new Promise((resolve) => {
        calls.push(resolve);
      }),
    write: async () => {
      throw new Error('not used');
    },
  };
  const follower = followTable({
    store,
    table: 'table',
    part: '',
    longPollMilliseconds: () => 1000,
    pauseMilliseconds: () => 0,
    maximumRetryMilliseconds: () => 800,
    delegatedMilliseconds: () => 0,
    random: () => 0,
    clock,
    now: () => time.now,
    onRows: () => undefined,
    onStoreResult: () => undefined,
  });
  follower.start();
  await vi.waitFor(() => expect(calls).toHaveLength(1));
  return {
    follower,
    time,
    clock,
    keys: () => [...(follower.copy()?.rows.keys() ?? [])],
    async answer(list, answeredAt) {
      calls.shift()?.({ kind: FeedKind.Changes, ...list, answeredAt });
      await vi.waitFor(() => expect(calls).toHaveLength(1));
      follower.stop();
    },
  };
}

describe('a response of the store that arrives after a copy from another instance', () => {
  it('still applies changes that are newer than the copy', async () => {
    // Guards against losing a change: the entry drops it but counts its revision as applied.
    const { follower, keys, answer } = await startFollowing();
    follower.replaceIfNewer({ rows: [row('first', 1), row('second', 2)], revision: 2 });
    await answer({ rows: [row('second', 2), row('third', 3)], revision: 3 }, 0);
    expect(keys()).toEqual(['first', 'second', 'third']);
  });

  it('does not confirm a copy that is newer than the response', async () => {
    const { follower, time, answer } = await startFollowing();
    follower.replaceIfNewer({ rows: [row('first', 1), row('third', 3)], revision: 3 });
    time.now = 500;
    await answer({ rows: [row('second', 2)], revision: 2 }, 400);
    expect(follower.confirmation()?.answeredAt).toBe(0);
  });
});

describe('a response of the store that is read late', () => {
  it('is dated by the time at which the store sent it', async () => {
    // Guards against an entry that was paused and then reports an outdated copy as fresh.
    const { follower, time, clock, answer } = await startFollowing();
    time.now = 5000;
    await answer({ rows: [], revision: 1 }, 1000);
    expect(clock.ageMilliseconds(follower.confirmation()?.answeredAt ?? NaN)).toBe(4000);
  });
});

describe('a confirmation of the store', () => {
  it('is no older than its call, whatever the clocks say', async () => {
    // Guards against an entry that calls the store endlessly after the store's clock was set back.
    const { follower, time, clock, answer } = await startFollowing();
    time.now = 200;
    await answer({ rows: [], revision: 1 }, -10_000);
    const confirmation = follower.confirmation();
    expect(clock.ageMilliseconds(confirmation?.answeredAt ?? NaN)).toBe(10_200);
    expect(confirmation?.requestedAt).toBe(0);
  });
});

describe('a follower whose calls fail', () => {
  const CALL_TIMEOUT_MILLISECONDS = 700;
  const LONG_POLL_MILLISECONDS = 1000;
  const RUN_MILLISECONDS = 12_000;

  beforeEach(() => {
    vi.useFakeTimers({ now: 0 });
  });

  afterEach(() => {
    vi.useRealTimers();
  });

  interface RecordedCall {
    readonly at: number;
    readonly longPollMilliseconds: number;
  }

  /** Follows a table whose changes are never sent; a delegated follower calls on request only. */
  async function followSilentStore(
    delegatedMilliseconds = 0,
  ): Promise<{ readonly follower: TableFollower; readonly calls: readonly RecordedCall[] }> {
    const calls: RecordedCall[] = [];
    const follower = followTable({
      store: {
        list: async () => ({ rows: [row('first', 1)], revision: 1, answeredAt: 0 }),
        feed: (_table, _since, longPollMilliseconds) => {
          calls.push({ at: Date.now(), longPollMilliseconds });
          return new Promise((_resolve, reject) => {
            setTimeout(
              () => reject(new Error('no answer in time')),
              CALL_TIMEOUT_MILLISECONDS + longPollMilliseconds,
            );
          });
        },
        write: () => Promise.reject(new Error('not used')),
      },
      table: 'table',
      part: '',
      longPollMilliseconds: () => LONG_POLL_MILLISECONDS,
      pauseMilliseconds: () => 0,
      maximumRetryMilliseconds: () => 800,
      delegatedMilliseconds: () => delegatedMilliseconds,
      random: () => 1,
      clock: createStoreClock(() => Date.now()),
      now: () => Date.now(),
      onRows: () => undefined,
      onStoreResult: () => undefined,
    });
    follower.start();
    await vi.advanceTimersByTimeAsync(RUN_MILLISECONDS);
    return { follower, calls };
  }

  // Guards against noticing the store's return late, by the time that the last call takes to fail.
  it('calls at least every 800 ms, and the store may hold only the first call', async () => {
    const { calls } = await followSilentStore();
    const [first, ...others] = calls;
    expect(first?.longPollMilliseconds).toBe(LONG_POLL_MILLISECONDS);
    expect(new Set(others.map((call) => call.longPollMilliseconds))).toEqual(new Set([0]));
    const intervals = others.slice(1).map(({ at }, index) => at - (others[index]?.at ?? 0));
    expect(Math.max(...intervals)).toBeLessThanOrEqual(800);
    expect(Math.min(...intervals)).toBeGreaterThanOrEqual(CALL_TIMEOUT_MILLISECONDS);
  });

  it('calls once when a refresh is requested although others read on its behalf', async () => {
    const { follower, calls } = await followSilentStore(Infinity);
    expect(calls).toEqual([]);
    follower.refresh();
    await vi.advanceTimersByTimeAsync(RUN_MILLISECONDS);
    expect(calls).toEqual([{ at: RUN_MILLISECONDS, longPollMilliseconds: 0 }]);
  });
});
