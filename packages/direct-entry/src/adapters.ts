/**
 * What a platform brings: how its store is called, how its tables read, and how its callers and
 * backend servers speak.
 */
import type { OperatorState, ServerList, Store, StoreRow } from '@lapisbridge/catalog';
import type { CallerProtocol } from '@lapisbridge/forwarding';
import type { Address } from '@lapisbridge/json-call';

/** By key. */
export type TableRows = ReadonlyMap<string, StoreRow>;

/** The store's two tables that entries follow. */
export interface TableAdapter {
  readonly operatorsTable: string;
  readonly serversTable: string;
  /** Rows that cannot be read are left out. */
  decodeOperatorState(rows: TableRows, revision: number): OperatorState;
  decodeServerList(rows: TableRows, revision: number): ServerList;
}

export interface StoreOptions extends Address {
  /** For one call, beyond the wait that it asks for. */
  readonly timeoutMilliseconds: number;
}

export interface EntryAdapters {
  readonly protocol: CallerProtocol;
  readonly tables: TableAdapter;
  createStore(options: StoreOptions): Store;
}
