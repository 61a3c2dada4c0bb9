/**
 * Batches the prepare orders that are sent in one iteration, one batch per forwarding entry.
 */
import type { OrderOutcome } from '@lapisbridge/placement';

export interface PrepareBatcher<Prepare> {
  /**
   * Adds an order for the sidecar at `host` and resolves with its outcome. Rejects when the batch
   * could not be forwarded.
   */
  add(entry: string, host: string, prepare: Prepare): Promise<OrderOutcome>;
}

interface Batch<Prepare> {
  readonly prepare: Prepare;
  readonly hosts: string[];
  readonly outcomes: Promise<ReadonlyMap<string, OrderOutcome>>;
}

/**
 * `sendBatch` is called once per complete batch. `missingOutcome` is the outcome of a host for
 * which it returns none.
 */
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
    // Orders of one iteration are added synchronously, so the batch is complete at the next
    // microtask.
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
