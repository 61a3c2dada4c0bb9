import type { AddressInfo } from 'node:net';
import type { Server } from 'node:http';

import { createSilentLogger } from '@lapisbridge/logger';
import { initialMap, OrderOutcome, RankOrderKind } from '@lapisbridge/placement';
import type { GroupMap, RankOrder } from '@lapisbridge/placement';
import { afterEach, describe, expect, it } from 'vitest';

import { createClientGuard, planClientLimits } from '@lapisbridge/client-limits';
import { createRankClient } from './rank-client.js';
import type { RankEngine } from './rank-client.js';
import { startRelayListener } from './relay-listener.js';

const HOST = '127.0.0.1';
const FIRST: GroupMap = { sets: [initialMap(6, 3)] };
const SECOND: GroupMap = {
  sets: [
    {
      experts: [
        [0, 3],
        [1, 4, 0],
        [2, 5],
      ],
    },
  ],
};
const THIRD: GroupMap = {
  sets: [
    {
      experts: [
        [0, 3, 5],
        [1, 4, 0],
        [2, 5],
      ],
    },
  ],
};

let listener: Server;

afterEach(() => {
  listener.closeAllConnections();
  listener.close();
});

/** Starts a sidecar in front of an engine that accepts every order. */
async function startSidecar(
  knowsFirst: boolean,
): Promise<{ order: typeof order; orders: RankOrder[] }> {
  const orders: RankOrder[] = [];
  const engine: RankEngine = {
    report: async () => undefined,
    counts: async () => undefined,
    map: async () => undefined,
    async order(_, taking) {
      orders.push(taking);
      return OrderOutcome.Accepted;
    },
  };
  listener = startRelayListener({
    guard: createClientGuard({
      limits: planClientLimits({ memoryBytes: 218e6, maximumDescriptors: 2048, heapBytes: 64e6 }),
      logger: createSilentLogger(),
      now: () => performance.now(),
    }),
    host: HOST,
    port: 0,
    backendServer: { host: HOST, port: 1 },
    engine,
    logger: createSilentLogger(),
    initialGroupMap: () => (knowsFirst ? FIRST : undefined),
    acceptFencingNumber: (fencingNumber) => fencingNumber >= 5,
    ownFencingNumber: () => undefined,
  });
  await new Promise((resolve) => {
    listener.once('listening', resolve);
  });
  const { port } = listener.address() as AddressInfo;
  const client = createRankClient({
    engine,
    requestReport: async () => undefined,
    now: () => 1000,
  });
  const target = { sidecar: { host: HOST, port }, backendServer: { host: HOST, port: 1 } };
  const order = (
    fencingNumber: number,
    version: number,
    map: GroupMap,
    base: { version: number; map: GroupMap },
  ): Promise<OrderOutcome> =>
    client.order(target, {
      fencingNumber,
      order: { kind: RankOrderKind.Prepare, epoch: 1, version, map },
      base,
    });
  return { order, orders };
}

describe('prepare order', () => {
  it('reaches the engine as the complete map, whether or not the sidecar knows the active map', async () => {
    // A sidecar that has just started knows no map, and one that has been running may know another
    // map under the version of a map that a leader reconstructed. Each must prepare exactly the
    // ordered map.
    for (const knowsFirst of [true, false]) {
      const { order, orders } = await startSidecar(knowsFirst);
      const first = { version: 0, map: FIRST };
      expect(await order(5, 7, SECOND, first)).toBe(OrderOutcome.Accepted);
      expect(await order(5, 8, THIRD, { version: 7, map: SECOND })).toBe(OrderOutcome.Accepted);
      expect(await order(5, 9, SECOND, { version: 8, map: FIRST })).toBe(OrderOutcome.Accepted);
      const maps = orders.map((one) => (one.kind === RankOrderKind.Prepare ? one.map : undefined));
      expect(maps).toEqual([SECOND, THIRD, SECOND]);
      listener.closeAllConnections();
      listener.close();
    }
  });

  it('is refused when it comes from a superseded leader', async () => {
    const { order, orders } = await startSidecar(true);
    expect(await order(4, 7, SECOND, { version: 0, map: FIRST })).toBe(OrderOutcome.Fenced);
    expect(orders).toEqual([]);
  });
});
