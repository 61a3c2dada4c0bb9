import { createColdShare } from '@lapisbridge/forwarding';
import { createRandom, pickSome } from '@lapisbridge/kernel';
import { expect, it } from 'vitest';

import { estimateEntryCount } from './estimate-entry-count.js';

it('assumes others until they had time to be heard', () => {
  const input = { knownEntries: 2, backendServers: 19 };
  expect(estimateEntryCount({ ...input, sinceStartMilliseconds: 100 })).toBe(8);
  expect(estimateEntryCount({ ...input, sinceStartMilliseconds: 6000 })).toBe(2);
  expect(
    estimateEntryCount({ knownEntries: 12, backendServers: 19, sinceStartMilliseconds: 100 }),
  ).toBe(12);
});

it.each([0, 1, 3, 8, 14, 20, 30, 45])(
  'keeps a cold server within its bound while each entry knows about %i others',
  (others) => {
    // All 46 entries lose power and start at once, and all servers are cold. Callers that waited are
    // sent on in the first seconds, in which no entry knows how many others do the same.
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
        const share = createColdShare(
          () => ({ own, names: view, count: estimateEntryCount(input) }),
          () => 0,
        );
        while (share.roomIn(`server-${server}`, rate) === 0) {
          share.noteSent(`server-${server}`);
          sent += 1;
        }
      }
      expect(sent, `server ${server}`).toBeLessThanOrEqual(rate * 1.5 + 5);
    }
  },
);
