/**
 * Counts how often a request that crashes backend servers reaches one after it has crashed as many
 * as its callers' retries may cost.
 */
import { EventKind } from '@lapisbridge/history';
import type { History } from '@lapisbridge/history';

export interface CrashingRequestWatch {
  /** A server ended under the request. */
  onCrash(target: string): void;
  onArrival(server: string, entry: string, target: string): void;
  /** An entry was killed, stopped or paused, and may not know what it was told. */
  excuse(entry: string): void;
  /** Servers that ended under each request. */
  crashes(): ReadonlyMap<string, number>;
}

const CONTACT_MILLISECONDS = 3000;
const KNOWN_AFTER_CRASHES = 3;

export function createCrashingRequestWatch(
  history: History,
  now: () => number,
): CrashingRequestWatch {
  const crashes = new Map<string, number>();
  const excusedAt = new Map<string, number>();

  return {
    onCrash(target) {
      crashes.set(target, (crashes.get(target) ?? 0) + 1);
    },
    onArrival(server, entry, target) {
      if ((crashes.get(target) ?? 0) < KNOWN_AFTER_CRASHES) return;
      if (now() - (excusedAt.get(entry) ?? -Infinity) < CONTACT_MILLISECONDS) return;
      history.record({ kind: EventKind.CrashingRequestArrival, instanceId: server, target });
    },
    excuse: (entry) => void excusedAt.set(entry, now()),
    crashes: () => crashes,
  };
}
