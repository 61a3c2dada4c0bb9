/**
 * Gathers the conditional writes of many calls into few table calls: the table takes several
 * hundred writes a second, and a busy site makes more claims than that.
 */
import type { PutOperation, Table, TransactionResult } from '@lapisbridge/platform';

const BATCH_DELAY_MILLISECONDS = 2;
const MAXIMUM_BATCH_SIZE = 200;
/** Calls that may be on their way at once; more would only queue at the table. */
const MAXIMUM_CONCURRENT_BATCHES = 4;

interface PendingTransaction {
  readonly puts: readonly PutOperation[];
  readonly resolve: (result: TransactionResult) => void;
  readonly reject: (error: unknown) => void;
}

export interface TransactionBatcher {
  /** Applies the puts wholly or not at all; rejects when no answer came. */
  submit(puts: readonly PutOperation[]): Promise<TransactionResult>;
}

export function createTransactionBatcher(table: Table): TransactionBatcher {
  let pending: PendingTransaction[] = [];
  let flushScheduled = false;
  let batchesInFlight = 0;

  async function flush(): Promise<void> {
    flushScheduled = false;
    if (batchesInFlight >= MAXIMUM_CONCURRENT_BATCHES || pending.length === 0) return;
    const batch = pending.slice(0, MAXIMUM_BATCH_SIZE);
    pending = pending.slice(MAXIMUM_BATCH_SIZE);
    batchesInFlight += 1;
    try {
      const results = await table.transact(batch.map(({ puts }) => ({ puts })));
      for (const [index, one] of batch.entries()) {
        const result = results[index];
        if (result === undefined) one.reject(new Error('the table answered too few results'));
        else one.resolve(result);
      }
    } catch (thrown) {
      for (const one of batch) one.reject(thrown);
    } finally {
      batchesInFlight -= 1;
      if (pending.length > 0) schedule();
    }
  }

  function schedule(): void {
    if (flushScheduled) return;
    flushScheduled = true;
    setTimeout(() => void flush(), BATCH_DELAY_MILLISECONDS);
  }

  return {
    submit(puts) {
      return new Promise((resolve, reject) => {
        pending.push({ puts, resolve, reject });
        schedule();
      });
    },
  };
}

/** A table whose transactions go through the batcher; reads go straight. */
export function createBatchingTable(table: Table): Table {
  const batcher = createTransactionBatcher(table);
  return {
    read: (key) => table.read(key),
    list: (prefix) => table.list(prefix),
    transact: (transactions) => Promise.all(transactions.map(({ puts }) => batcher.submit(puts))),
  };
}
