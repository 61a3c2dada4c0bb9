import { describe, expect, it, vi } from 'vitest';

import { followTable } from './follow-table.js';
import type { TableFollower } from './follow-table.js';
import { FeedKind } from './store.js';
import type { Feed, Store, StoreRow } from './store.js';

const WAIT_MILLISECONDS = 1000;

function row(key: string, revision: number): StoreRow {
  return { table: 'table', part: '', key, value: Buffer.from(key), revision };
}

/** A follower with a first copy of revision 1, whose calls for changes are answered by hand. */
async function startFollowing(): Promise<{
  readonly follower: TableFollower;
  readonly clock: { now: number };
  readonly keys: () => string[];
  answer(feed: Feed): Promise<void>;
}> {
  const clock = { now: 0 };
  const calls: ((feed: Feed) => void)[] = [];
  const store: Store = {
    list: async () => ({ rows: [row('first', 1)], revision: 1 }),
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
    waitMilliseconds: () => WAIT_MILLISECONDS,
    pauseMilliseconds: () => 0,
    longestRetryMilliseconds: () => 800,
    delegatedMilliseconds: () => 0,
    random: () => 0,
    now: () => clock.now,
    onRows: () => undefined,
    onStoreResult: () => undefined,
  });
  follower.start();
  await vi.waitFor(() => expect(calls).toHaveLength(1));
  return {
    follower,
    clock,
    keys: () => [...(follower.copy()?.rows.keys() ?? [])],
    async answer(feed) {
      calls.shift()?.(feed);
      await vi.waitFor(() => expect(calls).toHaveLength(1));
      follower.stop();
    },
  };
}

describe('an answer of the store that comes after a copy of another instance', () => {
  it('still brings what is newer than the copy', async () => {
    // Guards against a confirmed change that an entry drops and then takes for known.
    const { follower, keys, answer } = await startFollowing();
    follower.adopt({ rows: [row('first', 1), row('second', 2)], revision: 2 });
    const rows = [row('second', 2), row('third', 3)];
    await answer({ kind: FeedKind.Changes, rows, revision: 3 });
    expect(keys()).toEqual(['first', 'second', 'third']);
  });

  it('does not confirm a copy that is newer than the answer', async () => {
    const { follower, clock, answer } = await startFollowing();
    follower.adopt({ rows: [row('first', 1), row('third', 3)], revision: 3 });
    clock.now += 500;
    await answer({ kind: FeedKind.Changes, rows: [row('second', 2)], revision: 2 });
    expect(follower.millisecondsSinceResponse()).toBe(500);
  });
});
