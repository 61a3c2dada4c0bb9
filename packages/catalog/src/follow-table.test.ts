import { describe, expect, it, vi } from 'vitest';

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
