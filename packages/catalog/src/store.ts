/**
 * Interface of the transactional store. A single counter numbers all transactions, so revisions of
 * different rows and tables are comparable.
 */

/** A row of the store, or its removal. */
export interface StoreRow {
  readonly table: string;
  readonly part: string;
  readonly key: string;
  /** Undefined if the row was removed. */
  readonly value: Buffer | undefined;
  /** Of the transaction that last wrote the row. */
  readonly revision: number;
}

/** Rows that are complete as of a revision. */
export interface RowList {
  readonly rows: readonly StoreRow[];
  /** The rows include every change up to this revision. */
  readonly revision: number;
}

/** Rows from a response of the store. */
export interface StoreAnswer extends RowList {
  /** When the store answered: milliseconds of its own monotonic clock. */
  readonly answeredAt: number;
}

export enum FeedKind {
  Changes = 'changes',
  /** The requested changes are no longer kept, or too large: the table must be listed again. */
  HistoryGone = 'historyGone',
}

/** Response to a call for changes. */
export type Feed =
  ({ readonly kind: FeedKind.Changes } & StoreAnswer) | { readonly kind: FeedKind.HistoryGone };

/** Outcome of a transaction. */
export enum TransactionKind {
  Applied = 'applied',
  /** A row did not have the expected revision; nothing was written. */
  Conflict = 'conflict',
  /** No response: the transaction may have been applied, or may still be applied. */
  Unknown = 'unknown',
}

/** A row to write or remove, with an optional precondition. */
export interface RowWrite {
  readonly key: string;
  /** Undefined removes the row. */
  readonly value: Buffer | undefined;
  /** Revision that the row must have: 0 if it must not exist, undefined for any. */
  readonly expectedRevision: number | undefined;
}

/** Result of a write. */
export interface TransactionResult {
  readonly kind: TransactionKind;
  /** Revision of the transaction if it was applied; not meaningful otherwise. */
  readonly revision: number;
}

/** Client of the store. A call that gets no usable response rejects with an error. */
export interface Store {
  /** Lists all rows of a partition of a table. */
  list(table: string, part: string): Promise<StoreAnswer>;
  /** Changes of a table after a revision; the store holds the call until there are any. */
  feed(table: string, since: number, longPollMilliseconds: number): Promise<Feed>;
  /** Writes and removes rows in one transaction. */
  write(table: string, part: string, writes: readonly RowWrite[]): Promise<TransactionResult>;
}
