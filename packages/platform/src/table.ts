/**
 * The platform's transactional table. Rows carry a version that the table raises at each
 * write; a write can demand the version it expects, and zero demands that the row is absent.
 * One call carries many independent transactions, since calls are what the table limits.
 */
import type { PlatformConnection } from './http-client.js';

export const ABSENT = 0;

export interface TableRow {
  readonly key: string;
  readonly version: number;
  readonly value: unknown;
}

export interface PutOperation {
  readonly key: string;
  readonly value: unknown;
  /** Version the row must have; `ABSENT` when it must not exist; any when left out. */
  readonly expectedVersion?: number;
}

export interface Transaction {
  readonly puts: readonly PutOperation[];
}

/** `rows` holds, for each put, the row as it stands after the transaction was applied or refused. */
export interface TransactionResult {
  readonly applied: boolean;
  readonly rows: readonly (TableRow | null)[];
}

export interface Table {
  read(key: string): Promise<TableRow | null>;
  list(prefix: string): Promise<readonly TableRow[]>;
  /** Applies each transaction wholly or not at all, independently of the others. */
  transact(transactions: readonly Transaction[]): Promise<readonly TransactionResult[]>;
}

export function createTable(connection: PlatformConnection): Table {
  return {
    async read(key) {
      const reply = await connection.send('GET', `/table/rows/${encodeURIComponent(key)}`);
      return reply.status === 404 ? null : (reply.body as TableRow);
    },
    async list(prefix) {
      const reply = await connection.send(
        'GET',
        `/table/rows?prefix=${encodeURIComponent(prefix)}`,
      );
      return reply.body as TableRow[];
    },
    async transact(transactions) {
      const reply = await connection.send('POST', '/table/transactions', { transactions });
      return (reply.body as { results: TransactionResult[] }).results;
    },
  };
}
