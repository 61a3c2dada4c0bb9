import { createColdStartShare } from '@lapisbridge/forwarding';
import { createRandom, pickSome } from '@lapisbridge/kernel';
import { expect, it } from 'vitest';

import {
  createEntryCountPeak,
  estimateEntryCount,
  knowsAllEntries,
  planRetrySharers,
} from './plan-entries.js';

it('assumes a minimum until all entries have had time to be discovered', () => {
  const input = { knownEntries: 2, backendServers: 19 };
  expect(estimateEntryCount({ ...input, sinceStartMilliseconds: 100 })).toBe(8);
  expect(estimateEntryCount({ ...input, sinceStartMilliseconds: 6000 })).toBe(2);
  expect(
    estimateEntryCount({ knownEntries: 12, backendServers: 19, sinceStartMilliseconds: 100 }),
  ).toBe(12);
});

it.each([0, 1, 3, 8, 14, 20, 30, 45])(
  'keeps a cold server within its limit while each entry knows about %i others',
  (others) => {
    // Guards against overloading cold servers after a power loss: all 46 entries start at once, and
    // forward waiting requests in the first seconds, when none knows how many others do the same.
    const rate = 14;
    const random = createRandom(11);
    const names = Array.from({ length: 46 }, (_, index) => `entry-${index}`);
    for (let server = 0; server < 100; server += 1) {
      let sent = 0;
      for (const own of names) {
        const knownEntries = pickSome(names, others, random);
        const view = knownEntries.includes(own) ? knownEntries : [...knownEntries, own];
        const input = {
          knownEntries: view.length,
          backendServers: 77,
          sinceStartMilliseconds: 800,
        };
        const share = createColdStartShare(
          () => ({ own, names: view, count: estimateEntryCount(input) }),
          () => 0,
        );
        while (share.roomInMilliseconds(`server-${server}`, rate, 1 / names.length) === 0) {
          share.recordSent(`server-${server}`);
          sent += 1;
        }
      }
      expect(sent, `server ${server}`).toBeLessThanOrEqual(rate * 1.5 + 5);
    }
  },
);

it('remembers for an hour how many entries there were', () => {
  let now = 0;
  const peak = createEntryCountPeak(() => now);
  expect(peak.highest()).toBe(1);
  peak.observe(12);
  now = 1000;
  peak.observe(9);
  peak.observe(4);
  now = 3_600_000;
  peak.observe(4);
  expect(peak.highest()).toBe(12);
  now = 3_600_500;
  peak.observe(5);
  expect(peak.highest()).toBe(9);
  now = 7_300_000;
  peak.observe(5);
  expect(peak.highest()).toBe(5);
});

it('knows all entries once there was time to discover them and none is missing', () => {
  // Guards against shares of cold servers that add up to too much on both sides of a partition.
  const settled = { knownEntries: 45, sinceStartMilliseconds: 6000 };
  expect(knowsAllEntries(settled, 45)).toBe(true);
  expect(knowsAllEntries({ ...settled, sinceStartMilliseconds: 4000 }, 45)).toBe(false);
  expect(knowsAllEntries({ ...settled, knownEntries: 30 }, 45)).toBe(false);
});

it('divides the slack by a minimum of entries when few are known', () => {
  expect(planRetrySharers(1, 12)).toBe(8);
  expect(planRetrySharers(1, 90)).toBe(30);
  expect(planRetrySharers(40, 90)).toBe(40);
});
