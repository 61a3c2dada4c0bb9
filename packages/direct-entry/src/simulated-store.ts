/**
 * A store in simulated time for tests. Backend servers keep their rows by heartbeats; calls of
 * single entries, or of all of them, get no response during a fault.
 */
import { FeedKind, TransactionKind } from '@lapisbridge/catalog';
import type { BackendServer, Feed, Store, StoreAnswer, StoreRow } from '@lapisbridge/catalog';

export const OPERATORS_TABLE = 'operators';
export const SERVERS_TABLE = 'servers';
/** Interval of a backend server's heartbeats. */
export const HEARTBEAT_MILLISECONDS = 1200;
/** A row without heartbeats for this time is removed. */
const ROW_LIFETIME_MILLISECONDS = 3 * HEARTBEAT_MILLISECONDS;
const EXPIRY_CHECK_MILLISECONDS = 50;
/** One-way delay between an entry and the store. */
const STORE_LATENCY_MILLISECONDS = 2;
const STORE_TIMEOUT_MILLISECONDS = 700;

/** Runs a call of an entry; rejects if it takes longer than its timeout. */
export type TimedCall = <T>(
  instanceId: string,
  timeoutMilliseconds: number,
  answer: () => Promise<T>,
) => Promise<T>;

export interface SimulatedStoreOptions {
  now(): number;
  readonly call: TimedCall;
  isDead(instanceId: string): boolean;
}

/** The store and the faults that tests inject. */
export interface SimulatedStore {
  /** The store as an entry reaches it. */
  clientOf(instanceId: string): Store;
  /** Writes or, without a value, removes a row. */
  put(table: string, key: string, value: string | undefined): void;
  /** Makes the store refuse every call of an entry. */
  refuse(instanceId: string): void;
  /** Calls of an entry get no response, also those that are under way. */
  cutOff(instanceId: string): void;
  reconnect(instanceId: string): void;
  /** No call gets a response, and rows of servers expire. */
  stop(): void;
  restart(): void;
  /** Starts the heartbeats of a backend server. */
  addServer(instanceId: string, firstHeartbeatMilliseconds: number): void;
  /** Ends the heartbeats of a server; its row is removed unless the store is down. */
  removeServer(instanceId: string): void;
}

interface SimulatedServer {
  heartbeatAt: number;
  isStopped: boolean;
}

export function sleep(milliseconds: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, milliseconds);
  });
}

/** A backend server with an address of its own. */
export function createSimulatedServer(instanceId: string): BackendServer {
  return {
    instanceId,
    service: 'service',
    host: instanceId,
    port: 80,
    availabilityZone: 'zone',
    slots: 1,
    draining: false,
    groupRank: undefined,
    startedAt: undefined,
  };
}

/** Requires the fake timers of vitest. */
export function createSimulatedStore(options: SimulatedStoreOptions): SimulatedStore {
  const { now } = options;
  const rows = new Map<string, StoreRow>();
  const servers = new Map<string, SimulatedServer>();
  const refused = new Set<string>();
  const cut = new Set<string>();
  let isDown = false;
  let revision = 0;
  /** Faults begun or ended; a call during which one does gets no response. */
  let storeFaults = 0;
  const faultsOf = new Map<string, number>();
  let waiting: (() => void)[] = [];

  function put(table: string, key: string, value: string | undefined): void {
    revision += 1;
    const bytes = value === undefined ? undefined : Buffer.from(value);
    rows.set(`${table}/${key}`, { table, part: '', key, value: bytes, revision });
    const woken = waiting;
    waiting = [];
    for (const wake of woken) wake();
  }

  function rowsOf(table: string, since: number): StoreRow[] {
    return [...rows.values()]
      .filter((row) => row.table === table && row.revision > since)
      .sort((left, right) => left.revision - right.revision);
  }

  function nextChange(milliseconds: number): Promise<void> {
    return new Promise((resolve) => {
      const timer = setTimeout(resolve, milliseconds);
      waiting.push(() => {
        clearTimeout(timer);
        resolve();
      });
    });
  }

  async function untilChanged(table: string, since: number, milliseconds: number): Promise<void> {
    const until = now() + milliseconds;
    while (rowsOf(table, since).length === 0 && now() < until) await nextChange(until - now());
  }

  /** Faults that calls of an entry have met so far. */
  function faults(instanceId: string): number {
    return storeFaults + (faultsOf.get(instanceId) ?? 0);
  }

  function countFault(instanceId: string): void {
    faultsOf.set(instanceId, (faultsOf.get(instanceId) ?? 0) + 1);
  }

  function exchange<T>(
    instanceId: string,
    timeoutMilliseconds: number,
    respond: () => Promise<T>,
  ): Promise<T> {
    return options.call(instanceId, timeoutMilliseconds, async () => {
      const requestedAt = now();
      const faultsBefore = faults(instanceId);
      const isSilent = isDown || cut.has(instanceId);
      await sleep(STORE_LATENCY_MILLISECONDS);
      if (refused.has(instanceId) || options.isDead(instanceId)) {
        await sleep(STORE_LATENCY_MILLISECONDS);
        throw new Error('call refused');
      }
      const result = isSilent ? undefined : await respond();
      await sleep(STORE_LATENCY_MILLISECONDS);
      if (result !== undefined && faults(instanceId) === faultsBefore) return result;
      await sleep(requestedAt + timeoutMilliseconds - now());
      throw new Error('no answer in time');
    });
  }

  function removeExpiredRows(): void {
    for (const [instanceId, { heartbeatAt }] of servers) {
      const isListed = rows.get(`${SERVERS_TABLE}/${instanceId}`)?.value !== undefined;
      if (isListed && now() - heartbeatAt > ROW_LIFETIME_MILLISECONDS)
        put(SERVERS_TABLE, instanceId, undefined);
    }
  }

  setInterval(removeExpiredRows, EXPIRY_CHECK_MILLISECONDS);

  return {
    clientOf: (instanceId) => ({
      list: (table): Promise<StoreAnswer> =>
        exchange(instanceId, STORE_TIMEOUT_MILLISECONDS, async () => ({
          rows: rowsOf(table, 0).filter(({ value }) => value !== undefined),
          revision,
          answeredAt: now(),
        })),
      feed: (table, since, wait): Promise<Feed> =>
        exchange(instanceId, STORE_TIMEOUT_MILLISECONDS + wait, async () => {
          await untilChanged(table, since, wait);
          return {
            kind: FeedKind.Changes,
            rows: rowsOf(table, since),
            revision,
            answeredAt: now(),
          };
        }),
      write: () => Promise.resolve({ kind: TransactionKind.Conflict, revision: 0 }),
    }),
    put,
    refuse: (instanceId) => refused.add(instanceId),
    cutOff(instanceId) {
      cut.add(instanceId);
      countFault(instanceId);
    },
    reconnect(instanceId) {
      cut.delete(instanceId);
      countFault(instanceId);
    },
    stop() {
      isDown = true;
      storeFaults += 1;
    },
    restart() {
      isDown = false;
      storeFaults += 1;
    },
    addServer(instanceId, firstHeartbeatMilliseconds) {
      const server: SimulatedServer = { heartbeatAt: now(), isStopped: false };
      servers.set(instanceId, server);
      function heartbeat(): void {
        if (server.isStopped) return;
        setTimeout(heartbeat, HEARTBEAT_MILLISECONDS);
        if (isDown) return;
        server.heartbeatAt = now();
        put(SERVERS_TABLE, instanceId, String(now()));
      }
      setTimeout(heartbeat, firstHeartbeatMilliseconds);
    },
    removeServer(instanceId) {
      const server = servers.get(instanceId);
      if (server === undefined) throw new Error(`no server ${instanceId}`);
      server.isStopped = true;
      if (!isDown) put(SERVERS_TABLE, instanceId, undefined);
    },
  };
}
