/**
 * Runs one process of the system from its settings.
 */
import type { Settings } from '@lapisbridge/config';
import { createEntry } from '@lapisbridge/entry';
import { createSidecar } from '@lapisbridge/sidecar';
import { Role } from '@lapisbridge/types';

/** A running role: started once, stopped gracefully once. */
export interface RunningRole {
  start(): Promise<void>;
  stop(): Promise<void>;
}

export function createRole(settings: Settings): RunningRole {
  switch (settings.role) {
    case Role.Entry:
      return createEntry(settings);
    case Role.Sidecar:
      return createSidecar(settings);
    default: {
      const unreachable: never = settings;
      return unreachable;
    }
  }
}
