/**
 * Knows whether this instance reaches the table. While it does not, calls that need the table
 * are answered at once instead of each waiting for a timeout.
 */
import type { Table } from './table.js';

const PROBE_MILLISECONDS = 700;
const PROBE_KEY = 'probe';

export interface StoreWatcher {
  readonly reachable: boolean;
  note(reachable: boolean): void;
  stop(): void;
}

export function createStoreWatcher(table: Table, random: () => number): StoreWatcher {
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
