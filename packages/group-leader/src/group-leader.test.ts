import { TransactionKind } from '@lapisbridge/catalog';
import type { Store, StoreRow } from '@lapisbridge/catalog';
import { createSilentLogger } from '@lapisbridge/logger';
import { describe, expect, it } from 'vitest';

import { composeMap } from './compose-map.js';
import { createCountDeltaTracker } from './count-delta.js';
import { createDemandWindow } from './demand-window.js';
import { createLeadership } from './leadership.js';
import type { Leadership } from './leadership.js';
import { createPassDurationEstimator } from './pass-duration.js';

interface FakeStore extends Store {
  isLosingAnswers: boolean;
}

/** One row under a condition; while it is losing, writes take effect and are not answered. */
function createFakeStore(): FakeStore {
  let row: StoreRow | undefined;
  let revision = 10;
  return {
    isLosingAnswers: false,
    list: async () => ({ rows: row === undefined ? [] : [row], revision, givenAt: 0 }),
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

describe('leading a group', () => {
  it('falls to one of two that claim it at once', async () => {
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

  it('is found out when the answer to the claim was lost', async () => {
    // The row names this instance, and it does not know. Nobody would lead, and demand would
    // shift away from the maps.
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

  it('is not taken from a leader that lives although its datagrams do not arrive', async () => {
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

  it('ends when a newer leader is heard, and is in doubt after a standstill', async () => {
    // A leader freezes, is replaced, and wakes with orders in mind: two leaders would steer the
    // ranks by turns.
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
    // The leader freezes while a hold stands, and with it every stream of the group. Callers
    // leave after two seconds, so nobody may wait for the usual silence.
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

  it('names the former leader’s rank only if that leader was heard to be settled', async () => {
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

  it('names the host of the former leader only if that did not answer', async () => {
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
  it('is what the counts grew by, and starts anew with a new epoch', () => {
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

  it('does not age while the group stands still', () => {
    // A rank is cut off for six seconds. Forgetting what was in demand before would leave the
    // group with its first map until enough was counted again, and every stream late.
    let now = 0;
    const demand = createDemandWindow(1000, () => now);
    demand.add({ epoch: 1, counts: [100] });
    now = 6000;
    demand.add({ epoch: 2, counts: [10] });
    expect(demand.totalChoices()).toBe(110);
  });

  it('takes nothing of an epoch that is over', () => {
    const demand = createDemandWindow(1000, () => 0);
    demand.add({ epoch: 2, counts: [10] });
    demand.add({ epoch: 1, counts: [100] });
    expect(demand.totalChoices()).toBe(10);
  });

  it('counts a slow rank as slower', () => {
    const demand = createDemandWindow(1000, () => 0);
    demand.add({ epoch: 1, counts: [0, 0] });
    expect(demand.loads(1, [1, 2])[0]?.speeds).toEqual([1, 0.5]);
  });
});

describe('a map put together from the ranks', () => {
  const profile = { sets: 1, experts: 3, placesPerRank: 2, newPerRank: 1 };

  it('fills a rank that is out of sight with what nobody else holds', () => {
    const composed = composeMap([{ version: 4, experts: [[0, 1]] }, undefined], 4, profile);
    expect(composed).toEqual({ map: { sets: [{ experts: [[0, 1], [2]] }] }, isComplete: false });
  });

  it('is not made of two versions, nor of too few ranks', () => {
    const one = { version: 4, experts: [[0, 1, 2]] };
    expect(composeMap([one, { version: 5, experts: [[0]] }], 4, profile)).toBeUndefined();
    expect(composeMap([one, undefined, undefined], 4, profile)).toBeUndefined();
  });
});

it('measures a pass over the last tenths of a second', () => {
  let now = 0;
  const passDuration = createPassDurationEstimator(() => now);
  for (let step = 0; step < 20; step += 1) {
    passDuration.observe(step);
    now += 50;
  }
  expect(passDuration.averageMilliseconds()).toBe(50);
});
