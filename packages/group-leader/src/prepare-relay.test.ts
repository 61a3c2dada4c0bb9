import { createServer } from 'node:http';
import type { Server } from 'node:http';
import type { AddressInfo } from 'node:net';

import { createSilentLogger } from '@lapisbridge/logger';
import { initialMap, OrderOutcome, RankOrderKind } from '@lapisbridge/placement';
import type { GroupMap } from '@lapisbridge/placement';
import { afterEach, expect, it } from 'vitest';

import { passOnPrepare } from './prepare-relay.js';
import { createRankLink } from './rank-link.js';
import type { RankEngine, RankTarget } from './rank-link.js';
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

/** An entry that passes orders on. Returns its port and counts what it was asked. */
async function startEntry(isAnswering: boolean): Promise<{ port: number; asked: () => number }> {
  let asked = 0;
  const server = createServer((incoming, response) => {
    asked += 1;
    if (!isAnswering) {
      response.destroy();
      return;
    }
    const chunks: Buffer[] = [];
    incoming.on('data', (chunk: Buffer) => chunks.push(chunk));
    incoming.on('end', () => {
      const body = JSON.parse(Buffer.concat(chunks).toString()) as Record<string, unknown>;
      void passOnPrepare(body).then((outcomes) => response.end(JSON.stringify(outcomes)));
    });
  });
  servers.push(server);
  await new Promise<void>((resolve) => {
    server.listen(0, ENTRY_HOST, resolve);
  });
  return { port: (server.address() as AddressInfo).port, asked: () => asked };
}

const sidecarHost = (rank: number): string => `127.0.0.${rank + 10}`;

/** Sidecars at the entry's port; returns the versions that each rank took. */
async function startSidecars(port: number): Promise<number[][]> {
  const taken: number[][] = Array.from({ length: RANKS }, () => []);
  for (let rank = 0; rank < RANKS; rank += 1) {
    const engine: RankEngine = {
      report: async () => undefined,
      counts: async () => undefined,
      map: async () => undefined,
      async order(_, order) {
        if (order.kind === RankOrderKind.Prepare) taken[rank]?.push(order.version);
        return OrderOutcome.Accepted;
      },
    };
    const server = startRelayListener({
      host: sidecarHost(rank),
      port,
      backendServer: { host: sidecarHost(rank), port: 1 },
      engine,
      logger: createSilentLogger(),
      firstMap: () => FIRST,
      acceptFence: () => true,
      ownFence: () => undefined,
    });
    servers.push(server);
    await new Promise<void>((resolve) => {
      server.once('listening', resolve);
    });
  }
  return taken;
}

async function prepareAll(port: number): Promise<OrderOutcome[]> {
  const engine: RankEngine = {
    report: async () => undefined,
    counts: async () => undefined,
    map: async () => undefined,
    order: async () => OrderOutcome.Refused,
  };
  const link = createRankLink({ engine, ask: async () => undefined, now: () => 1000 });
  const order = { kind: RankOrderKind.Prepare, epoch: 1, version: 5, map: SECOND } as const;
  const base = { version: 0, map: FIRST };
  const given: Promise<OrderOutcome>[] = [];
  for (let rank = 0; rank < RANKS; rank += 1) {
    const address = { host: sidecarHost(rank), port };
    const target: RankTarget = {
      sidecar: address,
      backendServer: address,
      entry: { host: ENTRY_HOST, port },
    };
    given.push(link.order(target, { fence: 1, order, base }));
  }
  return Promise.all(given);
}

it('gives an order to prepare to a zone once, whatever the number of its ranks', async () => {
  // Guards against a leader whose link carries a map to each of 129 ranks for seconds: its
  // heartbeats do not get out, another rank takes over, and no map is ever in force.
  const entry = await startEntry(true);
  const taken = await startSidecars(entry.port);
  expect(await prepareAll(entry.port)).toEqual(Array(RANKS).fill(OrderOutcome.Accepted));
  expect(entry.asked()).toBe(1);
  expect(taken).toEqual(Array(RANKS).fill([5]));
});

it('gives the order to each rank itself where the zone’s entry does not pass it on', async () => {
  // Guards against a group that keeps its first map because one entry has died.
  const entry = await startEntry(false);
  const taken = await startSidecars(entry.port);
  expect(await prepareAll(entry.port)).toEqual(Array(RANKS).fill(OrderOutcome.Accepted));
  expect(taken).toEqual(Array(RANKS).fill([5]));
});
