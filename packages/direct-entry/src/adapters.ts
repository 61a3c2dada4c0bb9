/**
 * Interfaces that a platform implements for the entry program: a client of its store, decoders of
 * its tables, and the protocol of its callers and backend servers.
 */
import type { OperatorState, ServerList, Store, StoreRow } from '@lapisbridge/catalog';
import type { CallerProtocol } from '@lapisbridge/forwarding';
import type { Address } from '@lapisbridge/json-call';

/** Rows of one table by key. */
export type TableRows = ReadonlyMap<string, StoreRow>;

/** Names and decoders of the two tables that entries follow. */
export interface TableAdapter {
  readonly operatorsTable: string;
  readonly serversTable: string;
  /** Decodes the operators' table; rows that are invalid are ignored. */
  decodeOperatorState(rows: TableRows, revision: number): OperatorState;
  /** Whether a row of the servers' table is valid. */
  isServerRow(row: StoreRow): boolean;
  /** Decodes the servers' table; rows that are invalid are ignored. */
  decodeServerList(rows: TableRows, revision: number): ServerList;
}

/** Address and timeout of the store. */
export interface StoreOptions extends Address {
  /** Timeout of one call, in addition to the time for which the store may hold it. */
  readonly timeoutMilliseconds: number;
}

/** Everything that the entry program needs from a platform. */
export interface EntryAdapters {
  readonly protocol: CallerProtocol;
  readonly tables: TableAdapter;
  createStore(options: StoreOptions): Store;
}
