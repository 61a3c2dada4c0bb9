/**
 * Gathers the orders to prepare that are given in one go into one batch for each entry that
 * passes them on.
 */
import type { OrderOutcome } from '@lapisbridge/placement';

export interface PrepareBatcher<Prepare> {
  /** Outcome of the order at the sidecar's host. Rejects when the batch could not be passed on. */
  add(entry: string, host: string, prepare: Prepare): Promise<OrderOutcome>;
}

interface Batch<Prepare> {
  readonly prepare: Prepare;
  readonly hosts: string[];
  readonly outcomes: Promise<ReadonlyMap<string, OrderOutcome>>;
}

/** `pass` is called once a batch is complete. */
export function createPrepareBatcher<Prepare>(
  sendBatch: (
    entry: string,
    hosts: readonly string[],
    prepare: Prepare,
  ) => Promise<ReadonlyMap<string, OrderOutcome>>,
  missingOutcome: OrderOutcome,
): PrepareBatcher<Prepare> {
  const openBatches = new Map<string, Batch<Prepare>>();

  function openBatch(entry: string, prepare: Prepare): Batch<Prepare> {
    const hosts: string[] = [];
    // Orders of one look are given synchronously, so all are in the batch by the next microtask.
    const outcomes = Promise.resolve().then(() => {
      openBatches.delete(entry);
      return sendBatch(entry, hosts, prepare);
    });
    const batch = { prepare, hosts, outcomes };
    openBatches.set(entry, batch);
    return batch;
  }

  return {
    async add(entry, host, prepare) {
      const existing = openBatches.get(entry);
      const batch = existing?.prepare === prepare ? existing : openBatch(entry, prepare);
      batch.hosts.push(host);
      return (await batch.outcomes).get(host) ?? missingOutcome;
    },
  };
}
