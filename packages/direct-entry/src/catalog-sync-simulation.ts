/**
 * Simulates the catalog sync of many entries for tests, in simulated time. Catalog sync and fleet
 * membership are the real implementations; the store changes the configuration and refuses calls of
 * selected entries.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';

import { createCatalog, decodeCopy } from '@lapisbridge/catalog';
import type { BackendServer, Catalog } from '@lapisbridge/catalog';
import { simulateFleet } from '@lapisbridge/fleet';
import type { InstanceName, SimulatedEntry, SimulatedFleet, ReadingRole } from '@lapisbridge/fleet';
import { numberOf, parseObject, textOf } from '@lapisbridge/json-call';
import { createRandom } from '@lapisbridge/kernel';
import { createSilentLogger } from '@lapisbridge/logger';
import { vi } from 'vitest';

import type { TableAdapter, TableRows } from './adapters.js';
import type { FollowedTable, FetchedCopy } from './copy-exchange.js';
import { createCatalogSync } from './catalog-sync.js';
import type { CatalogSync } from './catalog-sync.js';
import {
  createSimulatedServer,
  createSimulatedStore,
  OPERATORS_TABLE,
  SERVERS_TABLE,
  sleep,
} from './simulated-store.js';
import type { SimulatedStore } from './simulated-store.js';

/** Size and timing of the simulated fleet. */
export interface CatalogSyncSimulationOptions {
  readonly seed: number;
  readonly zones: number;
  readonly entries: number;
  /** One-way delay of a message between entries. */
  readonly delayMilliseconds: number;
  readonly configurationBoundMilliseconds: number;
  readonly drainingBoundMilliseconds: number;
  /** Instance ids of backend servers that register in the store. */
  readonly servers?: readonly string[];
  /** Speed of the entries' clocks relative to their timers. */
  readonly clockRate?: number;
}

/** A running simulation and the faults that tests inject. */
export interface CatalogSyncSimulation {
  readonly fleet: SimulatedFleet;
  readonly store: SimulatedStore;
  now(): number;
  /** Servers that an entry has in use, by instance id. */
  serversOf(instanceId: string): ReadonlyMap<string, BackendServer>;
  /** Advances the simulated time. */
  run(milliseconds: number): Promise<void>;
  entriesWithRole(role: ReadingRole): readonly SimulatedEntry[];
  /** Makes the store refuse every call of an entry. */
  refuseStoreCalls(instanceId: string): void;
  pause(instanceId: string): void;
  resume(instanceId: string): void;
  kill(instanceId: string): void;
  /** Cuts off an availability zone from all other zones. */
  cutZone(zone: string): void;
  /** Writes a new version of the configuration. */
  changeConfiguration(): void;
  /**
   * Milliseconds from the last change until it was in force, by instance id; `Infinity` where it is
   * not in force.
   */
  propagationDelays(): ReadonlyMap<string, number>;
}

const VERSION_KEY = 'version';
/** Resolution of the simulated time. */
const STEP_MILLISECONDS = 2;
const START_SPREAD_MILLISECONDS = 300;
/** Delay of a backend server's first heartbeat after that of the one before. */
const SERVER_STAGGER_MILLISECONDS = 310;
const FETCH_TIMEOUT_MILLISECONDS = 400;

const TABLES: TableAdapter = {
  operatorsTable: OPERATORS_TABLE,
  serversTable: SERVERS_TABLE,
  decodeOperatorState(rows: TableRows, revision) {
    const version = Number(rows.get(VERSION_KEY)?.value?.toString() ?? 0);
    const limits = {
      maximumHeaderBytes: 0,
      maximumBodyBytes: 0,
      headerTimeoutMilliseconds: 0,
      idleTimeoutMilliseconds: 0,
    };
    return {
      revision,
      drainedZones: new Set(),
      configuration: {
        version,
        routes: [],
        services: new Map(),
        accountsByKey: undefined,
        limits,
      },
    };
  },
  isServerRow: () => true,
  decodeServerList(rows, revision) {
    const servers = new Map<string, BackendServer>();
    for (const instanceId of rows.keys())
      servers.set(instanceId, createSimulatedServer(instanceId));
    return { revision, servers };
  },
};

/** Starts a simulation; requires the fake timers of vitest. */
export function simulateCatalogSync(options: CatalogSyncSimulationOptions): CatalogSyncSimulation {
  const random = createRandom(options.seed);
  const { clockRate = 1 } = options;
  const catalogSyncs = new Map<string, CatalogSync>();
  const catalogs = new Map<string, Catalog>();
  const appliedAt = new Map<string, Map<number, number>>();
  const dead = new Set<string>();
  /** Paused entries; `until` resolves when the entry resumes. */
  const paused = new Map<string, { readonly until: Promise<void>; resume(): void }>();
  let cutZone: string | undefined;
  let version = 1;
  let changedAt = 0;

  const fleet = simulateFleet({
    seed: options.seed,
    zones: options.zones,
    entries: options.entries,
    sidecars: 0,
    delayMilliseconds: options.delayMilliseconds,
    freshness: ({ instanceId }) => catalogSyncs.get(instanceId)?.freshness() ?? {},
    onFreshness: ({ instanceId }, from, freshness) =>
      catalogSyncs.get(instanceId)?.onPeerFreshness(from, freshness),
  });
  const byHost = new Map(fleet.entries.map((entry) => [entry.name.host, entry]));

  function isCut(from: InstanceName, to: InstanceName): boolean {
    const zones = [from.availabilityZone, to.availabilityZone];
    return zones[0] !== zones[1] && cutZone !== undefined && zones.includes(cutZone);
  }
  fleet.partition(isCut);

  /** Rejects if a call takes longer than its timeout; time for which the entry is paused counts. */
  async function callWithTimeout<T>(
    instanceId: string,
    timeoutMilliseconds: number,
    answer: () => Promise<T>,
  ): Promise<T> {
    await paused.get(instanceId)?.until;
    const startedAt = fleet.now();
    const result = await answer();
    await paused.get(instanceId)?.until;
    if (fleet.now() - startedAt > timeoutMilliseconds) throw new Error('no answer in time');
    return result;
  }

  const store = createSimulatedStore({
    now: () => fleet.now(),
    call: callWithTimeout,
    isDead: (instanceId) => dead.has(instanceId),
  });
  store.put(OPERATORS_TABLE, VERSION_KEY, String(version));
  for (const [index, instanceId] of (options.servers ?? []).entries())
    store.addServer(instanceId, index * SERVER_STAGGER_MILLISECONDS);

  function readCopy(host: string, table: FollowedTable, since: number): FetchedCopy | undefined {
    const target = byHost.get(host)?.name.instanceId ?? '';
    let text = '';
    const incoming = { url: `/copy/${table}?since=${since}`, resume: () => undefined };
    const response = {
      writeHead: () => undefined,
      end: (body?: string) => {
        text = body ?? '';
      },
    };
    catalogSyncs
      .get(target)
      ?.respondWithCopy(
        incoming as unknown as IncomingMessage,
        response as unknown as ServerResponse,
      );
    const body = parseObject(Buffer.from(text)) ?? {};
    const list = decodeCopy(body, table, '');
    if (list === undefined) return undefined;
    return {
      list,
      confirmedAt: numberOf(body, 'confirmedAt'),
      fingerprint: textOf(body, 'fingerprint') ?? '',
    };
  }

  function fetchCopyFor(name: InstanceName, host: string, table: FollowedTable, since: number) {
    return callWithTimeout(name.instanceId, FETCH_TIMEOUT_MILLISECONDS, async () => {
      const target = byHost.get(host)?.name;
      await sleep(options.delayMilliseconds);
      const { instanceId = '' } = target ?? {};
      if (target === undefined || dead.has(instanceId) || isCut(name, target)) {
        await sleep(FETCH_TIMEOUT_MILLISECONDS);
        throw new Error('no answer in time');
      }
      await paused.get(instanceId)?.until;
      const copy = readCopy(host, table, since);
      await sleep(options.delayMilliseconds);
      return copy;
    });
  }

  for (const { name, fleet: part } of fleet.entries) {
    const catalog = createCatalog();
    const appliedVersions = new Map<number, number>();
    catalog.onChange(() => {
      const known = catalog.operatorState().configuration?.version;
      if (known !== undefined && !appliedVersions.has(known))
        appliedVersions.set(known, fleet.now());
    });
    catalogs.set(name.instanceId, catalog);
    appliedAt.set(name.instanceId, appliedVersions);
    const catalogSync = createCatalogSync({
      catalog,
      store: store.clientOf(name.instanceId),
      tables: TABLES,
      logger: createSilentLogger(),
      random,
      availabilityZone: name.availabilityZone,
      now: () => fleet.now() * clockRate,
      fetchCopy: (host, table, since) => fetchCopyFor(name, host, table, since),
      bounds: () => ({
        configuration: options.configurationBoundMilliseconds,
        draining: options.drainingBoundMilliseconds,
      }),
      livePeerHosts: () => part.liveHosts(),
      isDelegating: () => part.isDelegating(),
      role: () => part.readingRole(),
      onFreshnessChange: () => part.expediteDigests(),
    });
    catalogSyncs.set(name.instanceId, catalogSync);
  }

  const simulation: CatalogSyncSimulation = {
    fleet,
    now: () => fleet.now(),
    async run(milliseconds) {
      for (let passed = 0; passed < milliseconds; passed += STEP_MILLISECONDS) {
        fleet.run(STEP_MILLISECONDS);
        await vi.advanceTimersByTimeAsync(STEP_MILLISECONDS);
      }
    },
    entriesWithRole: (role) => fleet.entries.filter((entry) => entry.fleet.readingRole() === role),
    store,
    serversOf: (instanceId) => catalogs.get(instanceId)?.servers().servers ?? new Map(),
    refuseStoreCalls: (instanceId) => store.refuse(instanceId),
    pause(instanceId) {
      let resume = (): void => undefined;
      const until = new Promise<void>((resolve) => {
        resume = resolve;
      });
      paused.set(instanceId, { until, resume });
      fleet.pause(instanceId);
    },
    resume(instanceId) {
      paused.get(instanceId)?.resume();
      paused.delete(instanceId);
      fleet.resume(instanceId);
    },
    kill(instanceId) {
      dead.add(instanceId);
      fleet.kill(instanceId);
    },
    cutZone(zone) {
      cutZone = zone;
    },
    changeConfiguration() {
      version += 1;
      changedAt = fleet.now();
      store.put(OPERATORS_TABLE, VERSION_KEY, String(version));
    },
    propagationDelays() {
      const propagationDelays = new Map<string, number>();
      for (const [instanceId, appliedVersions] of appliedAt) {
        propagationDelays.set(instanceId, (appliedVersions.get(version) ?? Infinity) - changedAt);
      }
      return propagationDelays;
    },
  };
  for (const catalogSync of catalogSyncs.values()) {
    setTimeout(() => catalogSync.start(), Math.floor(random() * START_SPREAD_MILLISECONDS));
  }
  return simulation;
}
