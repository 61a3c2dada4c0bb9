/**
 * Batches the conditional writes of many calls into fewer table requests: the table accepts
 * several hundred writes per second, and a busy site makes more claims than that.
 */
import type { PutOperation, Table, TransactionResult } from '@lapisbridge/platform';

const BATCH_DELAY_MILLISECONDS = 2;
const MAXIMUM_BATCH_SIZE = 200;
/** Further concurrent requests would only queue at the table. */
const MAXIMUM_CONCURRENT_BATCHES = 4;

interface PendingTransaction {
  readonly puts: readonly PutOperation[];
  readonly resolve: (result: TransactionResult) => void;
  readonly reject: (error: unknown) => void;
}

export interface TransactionBatcher {
  /** Applies the puts atomically. Rejects if the table did not respond. */
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
        if (result === undefined)
          one.reject(new Error('the table returned fewer results than transactions'));
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

/** Wraps a table so that its transactions are batched; reads are passed through. */
export function createBatchingTable(table: Table): Table {
  const batcher = createTransactionBatcher(table);
  return {
    read: (key) => table.read(key),
    list: (prefix) => table.list(prefix),
    transact: (transactions) => Promise.all(transactions.map(({ puts }) => batcher.submit(puts))),
  };
}
