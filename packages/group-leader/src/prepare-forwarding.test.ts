import { createServer } from 'node:http';
import type { Server } from 'node:http';
import type { AddressInfo } from 'node:net';

import { createSilentLogger } from '@lapisbridge/logger';
import { initialMap, OrderOutcome, RankOrderKind } from '@lapisbridge/placement';
import type { GroupMap } from '@lapisbridge/placement';
import { afterEach, expect, it } from 'vitest';

import { createClientGuard, planClientLimits } from '@lapisbridge/client-limits';
import { forwardPrepare } from './prepare-forwarding.js';
import { createRankClient } from './rank-client.js';
import type { RankEngine, RankTarget } from './rank-client.js';
import { startRelayListener } from './relay-listener.js';

const ENTRY_HOST = '127.0.0.1';
const RANKS = 4;
const FIRST: GroupMap = { sets: [initialMap(8, RANKS)] };
const SECOND: GroupMap = {
  sets: [
    {
      experts: [
        [0, 4, 1],
        [1, 5],
        [2, 6],
        [3, 7],
      ],
    },
  ],
};

const servers: Server[] = [];

afterEach(() => {
  for (const server of servers.splice(0)) {
    server.closeAllConnections();
    server.close();
  }
});

/**
 * Starts an entry that forwards orders. Returns its port and the number of requests it received.
 */
async function startEntry(
  isAnswering: boolean,
): Promise<{ port: number; requestCount: () => number }> {
  let requestCount = 0;
  const server = createServer((incoming, response) => {
    requestCount += 1;
    if (!isAnswering) {
      response.destroy();
      return;
    }
    const chunks: Buffer[] = [];
    incoming.on('data', (chunk: Buffer) => chunks.push(chunk));
    incoming.on('end', () => {
      const body = JSON.parse(Buffer.concat(chunks).toString()) as Record<string, unknown>;
      void forwardPrepare(body).then((outcomes) => response.end(JSON.stringify(outcomes)));
    });
  });
  servers.push(server);
  await new Promise<void>((resolve) => {
    server.listen(0, ENTRY_HOST, resolve);
  });
  return { port: (server.address() as AddressInfo).port, requestCount: () => requestCount };
}

const sidecarHost = (rank: number): string => `127.0.0.${rank + 10}`;

/**
 * Starts sidecars at the entry's port. Returns the map versions that each rank's engine received.
 */
async function startSidecars(port: number): Promise<number[][]> {
  const receivedVersions: number[][] = Array.from({ length: RANKS }, () => []);
  for (let rank = 0; rank < RANKS; rank += 1) {
    const engine: RankEngine = {
      report: async () => undefined,
      counts: async () => undefined,
      map: async () => undefined,
      async order(_, order) {
        if (order.kind === RankOrderKind.Prepare) receivedVersions[rank]?.push(order.version);
        return OrderOutcome.Accepted;
      },
    };
    const server = startRelayListener({
      guard: createClientGuard({
        limits: planClientLimits({ memoryBytes: 218e6, maximumDescriptors: 2048, heapBytes: 64e6 }),
        logger: createSilentLogger(),
        now: () => performance.now(),
      }),
      host: sidecarHost(rank),
      port,
      backendServer: { host: sidecarHost(rank), port: 1 },
      engine,
      logger: createSilentLogger(),
      initialGroupMap: () => FIRST,
      acceptFencingNumber: () => true,
      ownFencingNumber: () => undefined,
    });
    servers.push(server);
    await new Promise<void>((resolve) => {
      server.once('listening', resolve);
    });
  }
  return receivedVersions;
}

async function prepareAll(port: number): Promise<OrderOutcome[]> {
  const engine: RankEngine = {
    report: async () => undefined,
    counts: async () => undefined,
    map: async () => undefined,
    order: async () => OrderOutcome.Refused,
  };
  const client = createRankClient({
    engine,
    requestReport: async () => undefined,
    now: () => 1000,
  });
  const order = { kind: RankOrderKind.Prepare, epoch: 1, version: 5, map: SECOND } as const;
  const base = { version: 0, map: FIRST };
  const outcomes: Promise<OrderOutcome>[] = [];
  for (let rank = 0; rank < RANKS; rank += 1) {
    const address = { host: sidecarHost(rank), port };
    const target: RankTarget = {
      sidecar: address,
      backendServer: address,
      entry: { host: ENTRY_HOST, port },
    };
    outcomes.push(client.order(target, { fencingNumber: 1, order, base }));
  }
  return Promise.all(outcomes);
}

it('sends a prepare order once per zone, whatever the number of its ranks', async () => {
  // Guards against a leader whose link is occupied for seconds with sending a map to each of 129
  // ranks: its heartbeats are not sent, another rank takes over, and no map ever becomes active.
  const entry = await startEntry(true);
  const receivedVersions = await startSidecars(entry.port);
  expect(await prepareAll(entry.port)).toEqual(Array(RANKS).fill(OrderOutcome.Accepted));
  expect(entry.requestCount()).toBe(1);
  expect(receivedVersions).toEqual(Array(RANKS).fill([5]));
});

it('sends the order to each rank directly when the entry of the zone does not forward it', async () => {
  // Guards against a group that stays on its initial map because one entry has failed.
  const entry = await startEntry(false);
  const receivedVersions = await startSidecars(entry.port);
  expect(await prepareAll(entry.port)).toEqual(Array(RANKS).fill(OrderOutcome.Accepted));
  expect(receivedVersions).toEqual(Array(RANKS).fill([5]));
});
