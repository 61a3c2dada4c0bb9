/**
 * Clients of the platform's services: table, object store, and the lagging instance list.
 */
import type { InstanceRecord, InstanceState } from '@lapisbridge/types';

import { connectPlatform } from './http-client.js';
import type { PlatformConnection, PlatformOptions } from './http-client.js';
import { createTable } from './table.js';
import type { Table } from './table.js';

export { ABSENT, createTable } from './table.js';
export type { PutOperation, Table, TableRow, Transaction, TransactionResult } from './table.js';
export { readBack, WriteOutcome, writeConditionally } from './conditional-write.js';
export type { ConditionalWrite, WriteResult } from './conditional-write.js';
export { createStoreWatcher } from './store-watcher.js';
export type { StoreWatcher } from './store-watcher.js';
export type { PlatformConnection, PlatformOptions } from './http-client.js';

/** One row of the platform's instance list; it lags behind the truth. */
export interface ListedInstance {
  readonly record: InstanceRecord;
  readonly state: InstanceState.Live | InstanceState.Leaving;
}

export interface ObjectStore {
  read(key: string): Promise<unknown>;
  write(key: string, value: unknown): Promise<void>;
}

export interface Platform {
  readonly table: Table;
  readonly objects: ObjectStore;
  listInstances(environment: string): Promise<readonly ListedInstance[]>;
  close(): void;
}

function createObjectStore(connection: PlatformConnection): ObjectStore {
  const pathOf = (key: string): string => `/objects/${encodeURIComponent(key)}`;
  return {
    async read(key) {
      const reply = await connection.send('GET', pathOf(key));
      return reply.status === 404 ? null : reply.body;
    },
    async write(key, value) {
      await connection.send('PUT', pathOf(key), value);
    },
  };
}

export function createPlatform(options: PlatformOptions): Platform {
  const connection = connectPlatform(options);
  return {
    table: createTable(connection),
    objects: createObjectStore(connection),
    async listInstances(environment) {
      const path = `/instances?environment=${encodeURIComponent(environment)}`;
      const reply = await connection.send('GET', path);
      return reply.body as ListedInstance[];
    },
    close: () => connection.close(),
  };
}
