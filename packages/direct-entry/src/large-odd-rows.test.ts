import { createServer } from 'node:http';
import type { Server } from 'node:http';
import type { AddressInfo } from 'node:net';

import { createCatalog } from '@lapisbridge/catalog';
import type { Store, StoreRow } from '@lapisbridge/catalog';
import { ReadingRole } from '@lapisbridge/fleet';
import { createSilentLogger } from '@lapisbridge/logger';
import { afterEach, expect, it, vi } from 'vitest';

import type { TableAdapter } from './adapters.js';
import { createCatalogSync } from './catalog-sync.js';
import { fetchCopy, FollowedTable } from './copy-exchange.js';

const HOST = '127.0.0.1';
const ROW_BYTES = 64 * 1024;
const SERVER = Buffer.from('server');

function rowOf(key: string, value: Buffer, revision: number): StoreRow {
  return { table: 'servers', part: '', key, value, revision };
}

/** More bytes than one copy may have, with a server among them. */
const ROWS = [
  ...Array.from({ length: 99 }, (_, index) =>
    rowOf(`odd-${index}`, Buffer.alloc(ROW_BYTES, 'x'), index + 1),
  ),
  rowOf('server', SERVER, 100),
];

const tables: TableAdapter = {
  operatorsTable: 'op',
  serversTable: 'servers',
  decodeOperatorState: (_, revision) => ({
    revision,
    configuration: undefined,
    drainedZones: new Set(),
  }),
  isServerRow: ({ value }) => value?.equals(SERVER) === true,
  decodeServerList: (_, revision) => ({ revision, servers: new Map() }),
};

let server: Server | undefined;

afterEach(() => {
  server?.closeAllConnections();
  server?.close();
});

it('entries exchange copies of a list with many large odd rows', async () => {
  // Guards against entries that the store rejects and that no other entry can help.
  const store: Store = {
    list: (table) =>
      Promise.resolve({ rows: table === 'servers' ? ROWS : [], revision: 100, answeredAt: 1 }),
    // Never settles.
    feed: () => Promise.race<never>([]),
    write: () => Promise.reject(new Error('not written')),
  };
  const sync = createCatalogSync({
    catalog: createCatalog(),
    store,
    tables,
    logger: createSilentLogger(),
    random: () => 0.5,
    availabilityZone: 'zone-a',
    now: () => performance.now(),
    fetchCopy: () => Promise.reject(new Error('no other entry')),
    bounds: () => ({ configuration: 2000, draining: 2000 }),
    isDelegating: () => false,
    role: () => ReadingRole.Reader,
    livePeerHosts: () => [],
    onFreshnessChange: () => undefined,
  });
  const started = createServer((incoming, response) => {
    sync.respondWithCopy(incoming, response);
  });
  server = started;
  await new Promise<void>((resolve) => {
    started.listen(0, HOST, resolve);
  });
  const { port } = started.address() as AddressInfo;
  sync.start();
  await vi.waitFor(() => expect(sync.freshness()[FollowedTable.Servers]).toBeDefined());
  const fetched = await fetchCopy(HOST, port, FollowedTable.Servers, 0);
  expect(fetched?.list.rows).toHaveLength(ROWS.length);
  expect(fetched?.list.rows.at(-1)).toEqual(rowOf('server', SERVER, 100));
});
