import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';

import { OrderOutcome } from '@lapisbridge/placement';
import { expect, it } from 'vitest';

import { createRankLink } from './rank-link.js';
import type { RankEngine } from './rank-link.js';

it('asks a rank directly, and does not wait for its frozen sidecar a second time', async () => {
  // A machine freezes with a sidecar on it while a hold stands. Its successor asks all ranks
  // several times before it may release the group; each wait for the frozen one keeps every
  // stream of the group from going on.
  let questions = 0;
  const frozen = createServer(() => {
    questions += 1;
  });
  await new Promise<void>((resolve) => {
    frozen.listen(0, '127.0.0.1', resolve);
  });
  const { port } = frozen.address() as AddressInfo;
  const asked: string[] = [];
  const engine: RankEngine = {
    async report() {
      asked.push('report');
      return undefined;
    },
    async counts() {
      return undefined;
    },
    async map() {
      asked.push('map');
      return { version: 3, experts: [] };
    },
    async order() {
      return OrderOutcome.Accepted;
    },
  };
  const clock = { now: 1000 };
  const link = createRankLink({ engine, ask: async () => undefined, now: () => clock.now });
  const target = {
    sidecar: { host: '127.0.0.1', port },
    backendServer: { host: '127.0.0.1', port: 1 },
  };
  expect(await link.map(target)).toMatchObject({ version: 3 });
  expect(await link.map(target)).toMatchObject({ version: 3 });
  expect(asked).toEqual(['map', 'map']);
  expect(questions).toBe(1);
  clock.now += 600;
  await link.map(target);
  expect(questions).toBe(2);
  frozen.closeAllConnections();
  frozen.close();
});

it('does not ask a rank whose host was found silent', async () => {
  // A leader replaces one that stopped with its machine. It would wait for that rank with every
  // question, and under a hold all streams of the group wait with it.
  let questions = 0;
  const count = async (): Promise<undefined> => {
    questions += 1;
  };
  const link = createRankLink({
    engine: { report: count, counts: count, map: count, order: async () => OrderOutcome.Unknown },
    ask: count,
    now: () => 1000,
  });
  const address = { host: '127.0.0.1', port: 1 };
  link.passOver(address.host);
  expect(await link.report({ sidecar: address, backendServer: address })).toBeUndefined();
  expect(await link.map({ sidecar: address, backendServer: address })).toBeUndefined();
  expect(questions).toBe(0);
});
