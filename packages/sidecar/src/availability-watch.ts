/**
 * Tells entries at once when this sidecar becomes, or ceases to be, of use to them. Idle
 * connections beat seldom, so the next regular heartbeat could come seconds later.
 */
import type { Service } from '@lapisbridge/kernel';
import type { LoadReport } from '@lapisbridge/types';

const LOOK_MILLISECONDS = 250;

function describe({ warm, backendReachable, storeReachable, draining }: LoadReport): string {
  return [warm, backendReachable, storeReachable, draining].join();
}

export function createAvailabilityWatch(load: () => LoadReport, tell: () => void): Service {
  let timer: NodeJS.Timeout | undefined;
  let told = '';
  return {
    start() {
      timer = setInterval(() => {
        const now = describe(load());
        if (now === told) return;
        told = now;
        tell();
      }, LOOK_MILLISECONDS);
    },
    stop() {
      clearInterval(timer);
    },
  };
}
