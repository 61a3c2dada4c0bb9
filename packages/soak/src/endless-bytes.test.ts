import { createHistory } from '@lapisbridge/history';
import { createRandom, sleep } from '@lapisbridge/kernel';
import { EndlessBytes } from '@lapisbridge/users-platform';
import { expect, it } from 'vitest';

import { createCallers, Kind } from './callers.js';
import { BUNDLED_PROGRAMS } from './run-soak.js';
import { startSite } from './site.js';
import type { Site } from './site.js';

const KEY = 'key';
const REQUESTS_PER_SECOND = 60;
const QUIET_MILLISECONDS = 3000;
const FAULT_MILLISECONDS = 8000;
const MAXIMUM_GROWTH_BYTES = 20 * 1024 * 1024;
const MINIMUM_SERVED_SHARE = 0.985;
const FAULTY_SERVERS = 3;

function mostResidentBytes(site: Site): number {
  return Math.max(...site.entries.map((entry) => entry.residentBytes() ?? 0));
}

it.each([
  ['informational responses to streams', EndlessBytes.Informational, Kind.Stream, 21],
  ['an event', EndlessBytes.Event, Kind.Stream, 22],
  ['events that hold only comments', EndlessBytes.Comments, Kind.Stream, 23],
  ['informational responses to look-ups', EndlessBytes.Informational, Kind.LookUp, 24],
  ['header lines', EndlessBytes.Head, Kind.LookUp, 25],
  ['a body', EndlessBytes.Body, Kind.LookUp, 26],
])(
  'three of fourteen servers that send %s without end cost neither memory nor requests',
  async (_, endlessBytes, kind, network) => {
    const history = createHistory();
    const random = createRandom(1);
    const ownEnds: string[] = [];
    const site = await startSite({
      random,
      history,
      entries: 6,
      ranks: 8,
      plainServers: 6,
      programs: BUNDLED_PROGRAMS,
      network,
      onOwnEnd: (name, status) => ownEnds.push(`${name}: ${status}`),
    });
    const callers = createCallers(site, history, random, KEY);
    const load = { sent: 0, served: 0 };
    const pending = new Set<Promise<void>>();

    async function callOnce(index: number): Promise<void> {
      load.sent += 1;
      if (await callers.call(index % site.entries.length, kind)) load.served += 1;
    }

    async function callFor(milliseconds: number): Promise<void> {
      const until = performance.now() + milliseconds;
      for (let index = 0; performance.now() < until; index += 1) {
        const call = callOnce(index);
        pending.add(call);
        void call.then(() => pending.delete(call));
        await sleep(1000 / REQUESTS_PER_SECOND);
      }
    }

    try {
      site.configure([KEY]);
      while (!(await callers.call(0, kind))) await sleep(200);
      await callFor(QUIET_MILLISECONDS);
      await Promise.all(pending);
      const before = mostResidentBytes(site);
      const servers = kind === Kind.Stream ? site.ranks : site.plainServers;
      Object.assign(load, { sent: 0, served: 0 });
      for (const { runner } of servers.slice(0, FAULTY_SERVERS)) runner.endlessBytes = endlessBytes;
      let most = before;
      const watch = setInterval(() => {
        most = Math.max(most, mostResidentBytes(site));
      }, 100);
      await callFor(FAULT_MILLISECONDS);
      await Promise.all(pending);
      clearInterval(watch);
      expect(ownEnds).toEqual([]);
      expect(load.served / load.sent).toBeGreaterThanOrEqual(MINIMUM_SERVED_SHARE);
      expect(most - before).toBeLessThanOrEqual(MAXIMUM_GROWTH_BYTES);
    } finally {
      callers.close();
      await site.stop();
    }
  },
);
