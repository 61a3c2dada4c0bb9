import { createRandom, pickSome } from '@lapisbridge/kernel';
import { createSilentLogger } from '@lapisbridge/logger';
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';

import { createColdStartShare } from './cold-start-share.js';
import type { ColdStartShare } from './cold-start-share.js';
import { createRetryBudgetShare, RetryCause } from './retry-budget-share.js';

const BOUNDS = { ratio: 0.2, slack: 90, windowMilliseconds: 10_000 };

const NAMES = ['a', 'b', 'c', 'd', 'e', 'f', 'g'];
const ENTRIES = { own: 'a', names: NAMES, count: 7 };

interface Step {
  readonly entry: number;
  readonly wait: number;
  readonly repeats: number;
}

const steps = fc.array(
  fc.record({
    entry: fc.nat(6),
    wait: fc.nat(400),
    repeats: fc.nat(3),
  }),
  { maxLength: 300 },
);

describe('shares that entries compute without communication', () => {
  it('of the retry budget never add up to more than the budget in any window', () => {
    // Guards against retry storms: when a service fails partially, every entry retries and knows
    // only its own requests, so that together they would multiply the load of the failing service.
    fc.assert(
      fc.property(steps, (played: Step[]) => {
        let now = 0;
        const shares = Array.from({ length: 7 }, () =>
          createRetryBudgetShare({
            bounds: () => BOUNDS,
            entries: () => 7,
            logger: createSilentLogger(),
            startedAt: 0,
            now: () => now,
          }),
        );
        const requests: number[] = [];
        const repeats: number[] = [];
        for (const { entry, wait, repeats: wanted } of played) {
          now += wait;
          shares[entry]?.recordRequest('service');
          requests.push(now);
          for (let index = 0; index < wanted; index += 1) {
            if (shares[entry]?.trySpend('service', RetryCause.Lost) === true) repeats.push(now);
          }
          const from = now - BOUNDS.windowMilliseconds;
          const inWindow = (times: number[]): number => times.filter((at) => at >= from).length;
          expect(inWindow(repeats)).toBeLessThanOrEqual(
            BOUNDS.ratio * inWindow(requests) + BOUNDS.slack,
          );
        }
      }),
      { seed: 4, numRuns: 200 },
    );
  });

  it('of a cold server never add up to more than its cold-start rate in any second', () => {
    // When a zone returns, its servers are cold and every entry sends to them at once. Far above
    // its cold-start rate a server crashes, and its queued requests are lost.
    const rate = 36;
    fc.assert(
      fc.property(steps, (played: Step[]) => {
        let now = 0;
        const shares = Array.from({ length: 7 }, () =>
          createColdStartShare(
            () => ENTRIES,
            () => now,
          ),
        );
        const sent: number[] = [];
        for (const { entry, wait } of played) {
          now += wait / 20;
          const share = shares[entry];
          if (share?.roomInMilliseconds('server', rate, 1 / ENTRIES.count) === 0) {
            share.recordSent('server');
            sent.push(now);
          }
          const from = now - 1000;
          expect(sent.filter((at) => at > from).length).toBeLessThanOrEqual(rate);
        }
      }),
      { seed: 5, numRuns: 200 },
    );
  });

  it('of a cold server never add up to more than its rate when entries outnumber its requests', () => {
    // 39 entries see a server return; one request from each would be twice what it can take.
    const rate = 14;
    const names = Array.from({ length: 39 }, (_, index) => `entry-${index}`);
    const now = 0;
    for (const server of ['one', 'two', 'three']) {
      let sent = 0;
      for (const own of names) {
        const share = createColdStartShare(
          () => ({ own, names, count: names.length }),
          () => now,
        );
        while (share.roomInMilliseconds(server, rate, 1 / names.length) === 0) {
          share.recordSent(server);
          sent += 1;
        }
      }
      expect(sent).toBeLessThanOrEqual(rate);
      expect(sent).toBeGreaterThan(rate / 2);
    }
  });

  it('of a cold server stay within its limit while entries do not know all others yet', () => {
    // All entries lose power and start at the same time. For some tenths of a second each knows a
    // different subset of the others, and ranks itself among the few senders of a cold server more
    // often than it should. The platform tolerates one and a half times the rate, plus a few
    // requests.
    const rate = 14;
    const random = createRandom(7);
    const names = Array.from({ length: 46 }, (_, index) => `entry-${index}`);
    for (let server = 0; server < 200; server += 1) {
      let sent = 0;
      for (const own of names) {
        const known = pickSome(names, 15 + Math.floor(30 * random()), random);
        const view = known.includes(own) ? known : [...known, own];
        const share = createColdStartShare(
          () => ({ own, names: view, count: view.length }),
          () => 0,
        );
        if (share.roomInMilliseconds(`server-${server}`, rate, 1 / names.length) === 0) sent += 1;
      }
      expect(sent, `server ${server}`).toBeLessThanOrEqual(rate * 1.5 + 5);
    }
  });

  it.each([
    [14, 45],
    [26, 39],
    [26, 98],
  ])('of a cold server that takes %i a second nearly use it up with %i entries', (rate, count) => {
    // Guards against requests that are held although their servers are well below their limits.
    const names = Array.from({ length: count }, (_, index) => `entry-${index}`);
    for (let server = 0; server < 50; server += 1) {
      let sent = 0;
      for (const own of names) {
        const share = createColdStartShare(
          () => ({ own, names, count, isComplete: true }),
          () => 0,
        );
        if (share.roomInMilliseconds(`server-${server}`, rate, 1 / count) === 0) sent += 1;
      }
      expect(sent).toBeLessThanOrEqual(rate);
      expect(sent).toBeGreaterThan(rate * 0.8);
    }
  });

  it.each([
    [36, 7],
    [26, 6],
    [26, 25],
    [14, 39],
    [26, 98],
  ])('of a cold server that takes %i a second follow the traffic of %i entries', (rate, count) => {
    // Guards against an entry that gets most callers and may send a small part of their requests.
    const random = createRandom(11);
    const names = Array.from({ length: count }, (_, index) => `entry-${index}`);
    for (let round = 0; round < 50; round += 1) {
      const traffic = names.map(() => random() ** 6);
      const sum = traffic.reduce((left, right) => left + right, 0);
      let sent = 0;
      for (const [index, own] of names.entries()) {
        const trafficShare = (traffic[index] ?? 0) / sum;
        const share = createColdStartShare(
          () => ({ own, names, count }),
          () => 0,
        );
        let ownSent = 0;
        while (share.roomInMilliseconds('server', rate, trafficShare) === 0) {
          share.recordSent('server');
          ownSent += 1;
        }
        expect(ownSent).toBeGreaterThanOrEqual(Math.floor(0.75 * trafficShare * rate));
        sent += ownSent;
      }
      expect(sent).toBeLessThanOrEqual(rate * 1.5 + 5);
    }
  });

  it.each([
    [36, 7],
    [26, 6],
    [26, 25],
    [14, 39],
  ])(
    'of a cold server that takes %i a second stay within its limit while %i entries restart at once',
    (rate, count) => {
      // Guards against processes that use their share again in the second in which they restarted.
      const names = Array.from({ length: count }, (_, index) => `entry-${index}`);
      let now = 0;
      const startShares = (): ColdStartShare[] =>
        names.map((own) =>
          createColdStartShare(
            () => ({ own, names, count }),
            () => now,
            now,
          ),
        );
      const sentAt: number[] = [];
      const sentInLastSecond = (): number => sentAt.filter((at) => at > now - 1000).length;
      const sendAll = (shares: readonly ColdStartShare[]): void => {
        for (const share of shares) {
          while (share.roomInMilliseconds('server', rate, 1 / count) === 0) {
            share.recordSent('server');
            sentAt.push(now);
          }
        }
      };
      const before = startShares();
      now = 1500;
      sendAll(before);
      now = 1900;
      const after = startShares();
      for (; now < 4000; now += 10) {
        sendAll(after);
        expect(sentInLastSecond(), `at ${now}`).toBeLessThanOrEqual(rate * 1.5 + 5);
      }
    },
  );

  it('return the time until the next request is allowed', () => {
    let now = 0;
    const share = createColdStartShare(
      () => ENTRIES,
      () => now,
    );
    share.recordSent('server');
    now = 300;
    expect(share.roomInMilliseconds('server', 7, 1 / ENTRIES.count)).toBe(700);
    now = 1001;
    expect(share.roomInMilliseconds('server', 7, 1 / ENTRIES.count)).toBe(0);
  });

  it('of a server that is briefly missing from the list are not reset', () => {
    // A row of the list expires while the store is slow and returns shortly after. Entries that had
    // dropped what they sent would send a cold server twice what it can take, and it would crash.
    let now = 0;
    const share = createColdStartShare(
      () => ENTRIES,
      () => now,
    );
    share.recordSent('server');
    share.keepOnly(new Map());
    expect(share.roomInMilliseconds('server', 7, 1 / ENTRIES.count)).toBeGreaterThan(0);
    now = 1500;
    share.keepOnly(new Map());
    expect(share.roomInMilliseconds('server', 7, 1 / ENTRIES.count)).toBe(0);
  });

  it('do not limit a server without a cold-start phase', () => {
    const share = createColdStartShare(
      () => ENTRIES,
      () => 0,
    );
    for (let index = 0; index < 100; index += 1) share.recordSent('server');
    expect(share.roomInMilliseconds('server', 0, 0)).toBe(0);
  });
});
