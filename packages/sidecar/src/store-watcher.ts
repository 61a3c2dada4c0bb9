/**
 * Knows whether this sidecar reaches the table. While it does not, at-most-once calls are
 * refused at once instead of each waiting for a timeout, and entries prefer other sidecars.
 */
import type { Random } from '@lapisbridge/kernel';
import type { Table } from '@lapisbridge/platform';

const PROBE_MILLISECONDS = 700;
const PROBE_KEY = 'probe';

export interface StoreWatcher {
  readonly reachable: boolean;
  note(reachable: boolean): void;
  stop(): void;
}

export function createStoreWatcher(table: Table, random: Random): StoreWatcher {
  let reachable = true;
  let timer: NodeJS.Timeout | undefined;
  let stopped = false;

  async function probe(): Promise<void> {
    try {
      await table.read(PROBE_KEY);
      reachable = true;
    } catch {
      schedule();
    }
  }

  function schedule(): void {
    if (stopped) return;
    timer = setTimeout(() => void probe(), PROBE_MILLISECONDS * (0.5 + random()));
  }

  return {
    get reachable() {
      return reachable;
    },
    note(now) {
      if (now === reachable) return;
      reachable = now;
      if (!now) schedule();
    },
    stop() {
      stopped = true;
      clearTimeout(timer);
    },
  };
}
