/**
 * The transactional store as the core uses it. One counter numbers all transactions, so a
 * revision says as of when something is known.
 */
export interface StoreRow {
  readonly table: string;
  readonly part: string;
  readonly key: string;
  /** Undefined when the row was removed. */
  readonly value: Buffer | undefined;
  readonly revision: number;
}

export interface RowList {
  readonly rows: readonly StoreRow[];
  /** Every change up to this revision is in the rows. */
  readonly revision: number;
}

/** Rows as the store gave them. */
export interface StoreAnswer extends RowList {
  /** When it did: milliseconds of its own steady clock. */
  readonly answeredAt: number;
}

export enum FeedKind {
  Changes = 'changes',
  /** The store no longer has the changes asked for: all must be read anew. */
  HistoryGone = 'historyGone',
}

export type Feed =
  ({ readonly kind: FeedKind.Changes } & StoreAnswer) | { readonly kind: FeedKind.HistoryGone };

export enum TransactionKind {
  Applied = 'applied',
  /** A row did not have the revision that was expected; nothing was done. */
  Conflict = 'conflict',
  /** No answer: it may have been applied, or may be applied later. */
  Unknown = 'unknown',
}

export interface RowWrite {
  readonly key: string;
  readonly value: Buffer;
  /** Revision the row must have, 0 when it must not exist; any when undefined. */
  readonly expectedRevision: number | undefined;
}

export interface TransactionResult {
  readonly kind: TransactionKind;
  /** Of the transaction when it was applied. */
  readonly revision: number;
}

/** Rejects with an error when a call gets no usable answer. */
export interface Store {
  list(table: string, part: string): Promise<StoreAnswer>;
  feed(table: string, since: number, longPollMilliseconds: number): Promise<Feed>;
  write(table: string, part: string, writes: readonly RowWrite[]): Promise<TransactionResult>;
}
