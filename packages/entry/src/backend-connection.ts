/**
 * What an entry keeps of its connection to one sidecar.
 */
import type { InstanceRecord, LoadReport } from '@lapisbridge/types';
import type { Channel, Message } from '@lapisbridge/wire';

/** Receives what belongs to one attempt. */
export interface AttemptListener {
  onMessage(message: Message): void;
  onLost(): void;
}

export interface Connection {
  record: InstanceRecord;
  channel: Channel | undefined;
  /** True from the sidecar's hello on: a frozen process accepts connections and never says it. */
  ready: boolean;
  load: LoadReport | undefined;
  /** Configuration version in force there, as its last heartbeat said. */
  version: number;
  /** Requests of this entry there at the time of the report. */
  ownAtReport: number;
  leaving: boolean;
  dialing: boolean;
  failures: number;
  readonly listeners: Map<string, AttemptListener>;
  readonly waiters: Set<(ready: boolean) => void>;
}

/** A connection that has not been dialed yet. */
export function createConnection(record: InstanceRecord): Connection {
  return {
    record,
    channel: undefined,
    ready: false,
    load: undefined,
    version: 0,
    ownAtReport: 0,
    leaving: false,
    dialing: false,
    failures: 0,
    listeners: new Map(),
    waiters: new Set(),
  };
}
