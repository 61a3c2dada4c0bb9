import { TransactionKind } from '@lapisbridge/catalog';
import type { Store, StoreRow } from '@lapisbridge/catalog';
import { createSilentLogger } from '@lapisbridge/logger';
import { describe, expect, it } from 'vitest';

import { composeMap } from './compose-map.js';
import { createCountDeltaTracker } from './count-delta.js';
import { createDemandWindow } from './demand.js';
import { createLeadership } from './leadership.js';
import type { Leadership } from './leadership.js';
import { createPassDurationEstimator } from './pass-duration.js';

interface FakeStore extends Store {
  isLosingAnswers: boolean;
}

/**
 * A store of one row with conditional writes. While `isLosingAnswers`, writes take effect but are
 * not answered.
 */
function createFakeStore(): FakeStore {
  let row: StoreRow | undefined;
  let revision = 10;
  return {
    isLosingAnswers: false,
    list: async () => ({ rows: row === undefined ? [] : [row], revision, answeredAt: 0 }),
    feed: async () => {
      throw new Error('not used');
    },
    async write(table, part, [write]) {
      if (write === undefined || (row?.revision ?? 0) !== write.expectedRevision) {
        return { kind: TransactionKind.Conflict, revision: 0 };
      }
      revision += 1;
      row = { table, part, key: write.key, value: write.value, revision };
      if (this.isLosingAnswers) return { kind: TransactionKind.Unknown, revision: 0 };
      return { kind: TransactionKind.Applied, revision };
    },
  };
}

interface Member {
  readonly leadership: Leadership;
  readonly clock: { now: number };
}

function createMember(
  store: Store,
  instanceId: string,
  answerQuery: () => number | undefined | Promise<never> = () => undefined,
): Member {
  const clock = { now: 0 };
  const leadership = createLeadership({
    store,
    instanceId,
    host: instanceId,
    queryLeader: async () => answerQuery(),
    logger: createSilentLogger(),
    now: () => clock.now,
    random: () => 0.5,
  });
  return { leadership, clock };
}

describe('group leadership', () => {
  it('goes to one of two instances that claim it at the same time', async () => {
    const store = createFakeStore();
    const one = createMember(store, 'one');
    const two = createMember(store, 'two');
    one.clock.now = 5000;
    two.clock.now = 5000;
    await Promise.all([
      one.leadership.claimOrVerify({ group: 'group', rank: 0, isHeld: false }),
      two.leadership.claimOrVerify({ group: 'group', rank: 1, isHeld: false }),
    ]);
    const leading = [one, two].filter(({ leadership }) => leadership.fencingNumber() !== undefined);
    expect(leading).toHaveLength(1);
  });

  it('is detected later when the answer to the claim was lost', async () => {
    // The row names this instance, which does not know it. Without another read nobody would lead,
    // and the maps would no longer follow the demand.
    const store = createFakeStore();
    store.isLosingAnswers = true;
    const one = createMember(store, 'one');
    one.clock.now = 5000;
    await one.leadership.claimOrVerify({ group: 'group', rank: 0, isHeld: false });
    expect(one.leadership.fencingNumber()).toBeUndefined();
    one.clock.now = 8000;
    await one.leadership.claimOrVerify({ group: 'group', rank: 0, isHeld: false });
    expect(one.leadership.fencingNumber()).toBe(11);
  });

  it('is not taken from a running leader whose datagrams do not arrive', async () => {
    const store = createFakeStore();
    const one = createMember(store, 'one');
    one.clock.now = 5000;
    await one.leadership.claimOrVerify({ group: 'group', rank: 0, isHeld: false });
    const two = createMember(store, 'two', () => one.leadership.fencingNumber());
    two.clock.now = 5000;
    await two.leadership.claimOrVerify({ group: 'group', rank: 1, isHeld: false });
    expect(two.leadership.fencingNumber()).toBeUndefined();
    expect(one.leadership.fencingNumber()).toBe(11);
  });

  it('ends when a newer leader was elected, and requires verification after a suspension', async () => {
    // A leader freezes, is replaced, and resumes with orders still to send: two leaders would
    // control the ranks alternately.
    const store = createFakeStore();
    const one = createMember(store, 'one');
    one.clock.now = 5000;
    await one.leadership.claimOrVerify({ group: 'group', rank: 0, isHeld: false });
    one.leadership.requireVerification();
    expect(one.leadership.fencingNumber()).toBeUndefined();
    const two = createMember(store, 'two');
    two.clock.now = 9000;
    await two.leadership.claimOrVerify({ group: 'group', rank: 1, isHeld: false });
    one.clock.now = 9000;
    await one.leadership.claimOrVerify({ group: 'group', rank: 0, isHeld: false });
    expect(one.leadership.fencingNumber()).toBeUndefined();
    expect(two.leadership.fencingNumber()).toBe(12);
    expect(two.leadership.acceptFencingNumber(11)).toBe(false);
  });

  it('is claimed sooner by the rank that holds the group', async () => {
    // The leader freezes while a hold is set, and with it every stream of the group. Callers leave
    // after two seconds, so the usual election timeout is too long.
    const store = createFakeStore();
    const held = createMember(store, 'held');
    const other = createMember(store, 'other');
    for (const { leadership } of [held, other]) leadership.onLeaderHeartbeat(5, true);
    held.clock.now = 500;
    other.clock.now = 500;
    await other.leadership.claimOrVerify({ group: 'group', rank: 0, isHeld: false });
    expect(other.leadership.fencingNumber()).toBeUndefined();
    await held.leadership.claimOrVerify({ group: 'group', rank: 9, isHeld: true });
    expect(held.leadership.fencingNumber()).toBe(11);
  });

  it('names the previous leader’s rank only if that leader’s heartbeats said it was settled', async () => {
    const store = createFakeStore();
    const one = createMember(store, 'one');
    one.clock.now = 5000;
    await one.leadership.claimOrVerify({ group: 'group', rank: 4, isHeld: false });
    for (const isSettled of [false, true]) {
      const next = createMember(store, `next ${isSettled}`);
      next.leadership.onLeaderHeartbeat(isSettled ? 12 : 11, isSettled);
      next.clock.now = 9000;
      await next.leadership.claimOrVerify({ group: 'group', rank: 2, isHeld: false });
      expect(next.leadership.previousLeaderRank()).toBe(isSettled ? 2 : undefined);
    }
  });

  it('names the previous leader’s host only if it did not answer', async () => {
    const store = createFakeStore();
    const one = createMember(store, 'one');
    one.clock.now = 5000;
    await one.leadership.claimOrVerify({ group: 'group', rank: 0, isHeld: false });
    const two = createMember(store, 'two');
    two.clock.now = 9000;
    await two.leadership.claimOrVerify({ group: 'group', rank: 1, isHeld: false });
    expect(two.leadership.unresponsiveLeaderHost()).toBeUndefined();
    const three = createMember(store, 'three', () =>
      Promise.reject(new Error('no answer in time')),
    );
    three.clock.now = 9000;
    await three.leadership.claimOrVerify({ group: 'group', rank: 2, isHeld: false });
    expect(three.leadership.fencingNumber()).toBe(13);
    expect(three.leadership.unresponsiveLeaderHost()).toBe('two');
  });
});

describe('demand for experts', () => {
  it('is the sum of the count increments, and skips counts of a restarted rank', () => {
    let now = 0;
    const demand = createDemandWindow(1000, () => now);
    const deltaTracker = createCountDeltaTracker();
    const report = (epoch: number, counts: readonly number[]): void => {
      const delta = deltaTracker.update({ epoch, counts });
      if (delta !== undefined) demand.add(delta);
    };
    report(1, [100, 100]);
    now = 10;
    report(1, [110, 130]);
    expect(demand.totalChoices()).toBe(40);
    report(2, [5, 5]);
    expect(demand.totalChoices()).toBe(40);
  });

  it('does not decay while the group is stopped', () => {
    // A rank is disconnected for six seconds. Without the earlier demand the group would stay on
    // its initial map until enough selections were counted again, and every stream would be late.
    let now = 0;
    const demand = createDemandWindow(1000, () => now);
    demand.add({ epoch: 1, counts: [100] });
    now = 6000;
    demand.add({ epoch: 2, counts: [10] });
    expect(demand.totalChoices()).toBe(110);
  });

  it('ignores counts of an earlier epoch', () => {
    const demand = createDemandWindow(1000, () => 0);
    demand.add({ epoch: 2, counts: [10] });
    demand.add({ epoch: 1, counts: [100] });
    expect(demand.totalChoices()).toBe(10);
  });

  it('takes the slowdown of a rank into account', () => {
    const demand = createDemandWindow(1000, () => 0);
    demand.add({ epoch: 1, counts: [0, 0] });
    expect(demand.loads(1, [1, 2])[0]?.speeds).toEqual([1, 0.5]);
  });
});

describe('map composed from rank reports', () => {
  const profile = { sets: 1, experts: 3, placesPerRank: 2, newPerRank: 1 };

  it('assigns the experts that no other rank holds to a missing rank', () => {
    const composed = composeMap([{ version: 4, experts: [[0, 1]] }, undefined], 4, profile);
    expect(composed).toEqual({ map: { sets: [{ experts: [[0, 1], [2]] }] }, isComplete: false });
  });

  it('is undefined for mixed versions and for too many missing ranks', () => {
    const one = { version: 4, experts: [[0, 1, 2]] };
    expect(composeMap([one, { version: 5, experts: [[0]] }], 4, profile)).toBeUndefined();
    expect(composeMap([one, undefined, undefined], 4, profile)).toBeUndefined();
  });
});

it('measures the duration of a pass over the last tenths of a second', () => {
  let now = 0;
  const passDuration = createPassDurationEstimator(() => now);
  for (let step = 0; step < 20; step += 1) {
    passDuration.observe(step);
    now += 50;
  }
  expect(passDuration.averageMilliseconds()).toBe(50);
});
