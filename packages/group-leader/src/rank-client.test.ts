import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';

import { OrderOutcome } from '@lapisbridge/placement';
import { expect, it } from 'vitest';

import { createRankClient } from './rank-client.js';
import type { RankEngine } from './rank-client.js';

it('calls a rank directly, and does not wait for its frozen sidecar a second time', async () => {
  // Guards against a group that stays held: the leader's machine freezes while a hold is set, and
  // its successor queries all ranks several times before it may release the group. Each wait for
  // the frozen sidecar delays every stream.
  let callCount = 0;
  const frozen = createServer(() => {
    callCount += 1;
  });
  await new Promise<void>((resolve) => {
    frozen.listen(0, '127.0.0.1', resolve);
  });
  const { port } = frozen.address() as AddressInfo;
  const engineCalls: string[] = [];
  const engine: RankEngine = {
    async report() {
      engineCalls.push('report');
      return undefined;
    },
    async counts() {
      return undefined;
    },
    async map() {
      engineCalls.push('map');
      return { version: 3, experts: [] };
    },
    async order() {
      return OrderOutcome.Accepted;
    },
  };
  const clock = { now: 1000 };
  const client = createRankClient({
    engine,
    requestReport: async () => undefined,
    now: () => clock.now,
  });
  const target = {
    sidecar: { host: '127.0.0.1', port },
    backendServer: { host: '127.0.0.1', port: 1 },
  };
  expect(await client.map(target)).toMatchObject({ version: 3 });
  expect(await client.map(target)).toMatchObject({ version: 3 });
  expect(engineCalls).toEqual(['map', 'map']);
  expect(callCount).toBe(1);
  clock.now += 600;
  await client.map(target);
  expect(callCount).toBe(2);
  frozen.closeAllConnections();
  frozen.close();
});

it('does not call a rank whose host is marked unreachable', async () => {
  // Guards against waiting in every round for the rank of a leader that stopped together with its
  // machine. Under a hold, all streams of the group wait as well.
  let callCount = 0;
  const count = async (): Promise<undefined> => {
    callCount += 1;
  };
  const client = createRankClient({
    engine: { report: count, counts: count, map: count, order: async () => OrderOutcome.Unknown },
    requestReport: count,
    now: () => 1000,
  });
  const address = { host: '127.0.0.1', port: 1 };
  client.markUnreachable(address.host);
  expect(await client.report({ sidecar: address, backendServer: address })).toBeUndefined();
  expect(await client.map({ sidecar: address, backendServer: address })).toBeUndefined();
  expect(callCount).toBe(0);
});
