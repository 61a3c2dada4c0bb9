/**
 * Configuration versions and drain orders under races, lost replies and partitions.
 */
import { readFileSync } from 'node:fs';

import { createSilentLogger } from '@lapisbridge/logger';
import { CallFate, createFakeTable } from '@lapisbridge/test-support';
import { DrainTargetKind, ServiceState } from '@lapisbridge/types';
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';

import {
  ApplyOutcome,
  createSharedState,
  createStateStore,
  mergeOrders,
  nextCounter,
  peerMayBeAhead,
} from './index.js';
import type { DrainOrder, DrainOrders, StoredDocument } from './index.js';

const TEXT = readFileSync(new URL('../../../examples/brno.json', import.meta.url), 'utf8');

function createDocument(changeId: string): StoredDocument {
  return { changeId, author: changeId, acceptedAt: '', text: TEXT };
}

const orders = fc
  .array(
    fc.record<DrainOrder>({
      targetKind: fc.constantFrom(...Object.values(DrainTargetKind)),
      target: fc.constantFrom('x', 'y'),
      state: fc.constantFrom(...Object.values(ServiceState)),
      counter: fc.integer({ min: 1, max: 4 }),
      author: fc.constantFrom('a', 'b', 'c'),
    }),
    { maxLength: 6 },
  )
  .map((list) => {
    // An author uses a counter only once per target, so orders with equal identity are equal.
    const byIdentity = new Map<string, DrainOrder>();
    for (const order of list) {
      const identity = `${order.targetKind}:${order.target}:${order.counter}:${order.author}`;
      byIdentity.set(identity, {
        ...order,
        state: order.counter % 2 === 0 ? ServiceState.Drained : ServiceState.InService,
      });
    }
    return [...byIdentity.values()].reduce<DrainOrders>(
      (merged, order) => mergeOrders(merged, { [`${order.targetKind}:${order.target}`]: order }),
      {},
    );
  });

describe('drain orders', () => {
  it('merge to the same map in any order and any number of times', () => {
    fc.assert(
      fc.property(orders, orders, orders, (left, middle, right) => {
        const leftToRight = mergeOrders(mergeOrders(left, middle), right);
        const rightToLeft = mergeOrders(right, mergeOrders(middle, mergeOrders(left, right)));
        expect(rightToLeft).toEqual(leftToRight);
      }),
    );
  });

  it('win over older orders that have not arrived here yet', () => {
    // One operator restores a zone through one entry, and another drains it through a second entry
    // that has not received the first order. With equal counters the author's name decided, and the
    // newer order was silently lost although its operator was told that it is in force.
    expect(nextCounter({}, 2000)).toBeGreaterThan(nextCounter({}, 1999));
    const known = { x: { ...({} as DrainOrder), counter: 5000 } };
    expect(nextCounter(known, 2000)).toBe(5001);
  });

  it('are not lost when two entries write different ones at once', async () => {
    // Two operators drain two zones through two entries at once. An unconditional write by one
    // entry would overwrite the other's, and a drained zone would receive requests again.
    const table = createFakeTable();
    const store = createStateStore(table);
    const order = (target: string, author: string): DrainOrders => ({
      [`availabilityZone:${target}`]: {
        targetKind: DrainTargetKind.AvailabilityZone,
        target,
        state: ServiceState.Drained,
        counter: 1,
        author,
      },
    });
    await Promise.all([
      store.writeOrders('brno', order('x', 'a')),
      store.writeOrders('brno', order('y', 'b')),
    ]);
    expect(Object.keys(await store.readOrders('brno')).sort()).toEqual([
      'availabilityZone:x',
      'availabilityZone:y',
    ]);
  });
});

describe('the configuration', () => {
  it('has one winner among racing operators, and no operator gets a false outcome', async () => {
    // Operators race on one version while the table loses replies. With two winners, each would
    // assume its document is in force; a loser that got "accepted" would find its change missing.
    await fc.assert(
      fc.asyncProperty(
        fc.scheduler(),
        fc.integer({ min: 2, max: 4 }),
        fc.infiniteStream(
          fc.constantFrom(CallFate.Answered, CallFate.AnswerLost, CallFate.Dropped, CallFate.Late),
        ),
        fc.infiniteStream(fc.constantFrom(CallFate.Answered, CallFate.Answered, CallFate.Dropped)),
        async (scheduler, count, writeFates, readFates) => {
          const table = createFakeTable({
            writeFate: () => writeFates.next().value as CallFate,
            readFate: () => readFates.next().value as CallFate,
            pause: (label) => scheduler.schedule(Promise.resolve(), label),
          });
          const store = createStateStore(table);
          const outcomes: ApplyOutcome[] = [];
          const operators = Array.from({ length: count }, async (_, index) => {
            const result = await store.apply('brno', 0, createDocument(`change-${index}`));
            outcomes[index] = result.outcome;
          });
          await scheduler.waitFor(Promise.all(operators));
          await scheduler.waitAll();
          const current = table.state.read('documents/brno');
          for (const [index, outcome] of outcomes.entries()) {
            const isInForce =
              (current?.value as StoredDocument | undefined)?.changeId === `change-${index}`;
            if (outcome === ApplyOutcome.Accepted) expect(isInForce).toBe(true);
            if (outcome === ApplyOutcome.Conflict) expect(isInForce).toBe(false);
          }
          expect(current?.version ?? 0).toBeLessThanOrEqual(1);
        },
      ),
      { numRuns: 300 },
    );
  });

  it('never reverts, whatever peers and replicas offer in whatever order', () => {
    // An instance was suspended during two changes, or a restarted peer still has an old version.
    // Adopting it would restore accounts and limits that operators have replaced.
    fc.assert(
      fc.property(fc.array(fc.integer({ min: 1, max: 9 }), { minLength: 1 }), (versions) => {
        const state = createSharedState('brno', createSilentLogger());
        let highest = 0;
        for (const version of versions) {
          state.adopt(version, `change-${version}`, TEXT);
          highest = Math.max(highest, version);
          expect(state.configuration?.version).toBe(highest);
        }
      }),
    );
  });

  it('is merged from a peer that is ahead, and only then fetched', () => {
    const newer = createSharedState('brno', createSilentLogger());
    const older = createSharedState('brno', createSilentLogger());
    newer.adopt(2, 'two', TEXT);
    older.adopt(1, 'one', TEXT);
    expect(peerMayBeAhead(older.digest, newer.digest)).toBe(true);
    expect(peerMayBeAhead(newer.digest, older.digest)).toBe(false);
    older.merge(newer.serialize());
    expect(older.configuration?.version).toBe(2);
    expect(peerMayBeAhead(older.digest, newer.digest)).toBe(false);
  });

  it('of another environment is refused', () => {
    const state = createSharedState('trial', createSilentLogger());
    expect(state.adopt(1, 'one', TEXT)).toBe(false);
    expect(state.configuration).toBeUndefined();
  });
});
