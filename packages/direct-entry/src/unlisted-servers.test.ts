import { createCatalog } from '@lapisbridge/catalog';
import { ReadingRole } from '@lapisbridge/fleet';
import { createSilentLogger } from '@lapisbridge/logger';
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';

import { simulateCatalogSync } from './catalog-sync-simulation.js';
import type { CatalogSyncSimulation } from './catalog-sync-simulation.js';
import { createSimulatedServer } from './simulated-store.js';
import { createUnlistedServers } from './unlisted-servers.js';

/** Time within which a server that leaves must be unused by entries that reach the store. */
const DRAINING_BOUND_MILLISECONDS = 2000;
/** Time after the end of a fault from which that bound holds again. */
const CONTACT_MILLISECONDS = 3000;
const CONFIGURATION_BOUND_MILLISECONDS = 2000;
const LARGE_FLEET = {
  zones: 5,
  entries: 50,
  configurationBoundMilliseconds: 4000,
  drainingBoundMilliseconds: 4000,
};
const LARGE_FLEET_CONTACT_MILLISECONDS = 5000;
const SETTLE_MILLISECONDS = 4000;
const OBSERVATION_MILLISECONDS = 10;
const LEAVING = 'leaving';
const STAYING = ['first', 'second', 'third', 'fourth'];

beforeEach(() => {
  vi.useFakeTimers();
});

afterEach(() => {
  vi.clearAllTimers();
  vi.useRealTimers();
});

interface Observation {
  /** Servers that stay and that an entry dropped, as `entry: server at time`. */
  readonly gaps: readonly string[];
  /** When the last entry ceased to use the leaving server; `Infinity` if one still does. */
  readonly lastUsedAt: number;
}

interface ObservedFleet {
  readonly simulation: CatalogSyncSimulation;
  readonly entries: readonly string[];
  /** Advances the time. */
  run(milliseconds: number): Promise<void>;
  /** What was seen since the start, at the given entries. */
  observe(entries?: readonly string[]): Observation;
}

async function startFleet(
  options: Partial<Parameters<typeof simulateCatalogSync>[0]> = {},
): Promise<ObservedFleet> {
  vi.clearAllTimers();
  const simulation = simulateCatalogSync({
    seed: 3,
    zones: 1,
    entries: 2,
    delayMilliseconds: 1,
    configurationBoundMilliseconds: CONFIGURATION_BOUND_MILLISECONDS,
    drainingBoundMilliseconds: DRAINING_BOUND_MILLISECONDS,
    servers: [LEAVING, ...STAYING],
    ...options,
  });
  const entries = simulation.fleet.entries.map(({ name }) => name.instanceId);
  await simulation.run(SETTLE_MILLISECONDS);
  const gaps = new Map<string, string[]>(entries.map((entry) => [entry, []]));
  const usedBefore = new Map<string, ReadonlySet<string>>();
  const lastUsedAt = new Map<string, number>();

  function look(): void {
    for (const entry of entries) {
      const used = simulation.serversOf(entry);
      for (const server of STAYING) {
        if (!used.has(server) && usedBefore.get(entry)?.has(server) !== false)
          gaps.get(entry)?.push(`${entry}: ${server} at ${simulation.now()} ms`);
      }
      usedBefore.set(entry, new Set(used.keys()));
      if (used.has(LEAVING)) lastUsedAt.set(entry, simulation.now());
    }
  }

  return {
    simulation,
    entries,
    async run(milliseconds) {
      const until = simulation.now() + milliseconds;
      while (simulation.now() < until) {
        await simulation.run(Math.min(OBSERVATION_MILLISECONDS, until - simulation.now()));
        look();
      }
    },
    observe: (observed = entries) => ({
      gaps: observed.flatMap((entry) => gaps.get(entry) ?? []),
      lastUsedAt: Math.max(...observed.map((entry) => lastUsedAt.get(entry) ?? -Infinity)),
    }),
  };
}

/** Durations that end at many moments of an entry's calls and of the backoff between them. */
function durations(from: number, to: number, step: number): number[] {
  const listed = [];
  for (let duration = from; duration <= to; duration += step) listed.push(duration);
  return listed;
}

describe('a server that leaves while entries are cut off from the store', () => {
  // Guards against taking a cut of the entry's own path for an outage in which live rows expired.
  it.each([1, 2])(
    'gets nothing once %i cut entries are in touch again, whenever the cut ends',
    async (entryCount) => {
      for (const duration of durations(3500, 5800, 100)) {
        const { simulation, entries, run, observe } = await startFleet({ entries: entryCount });
        for (const entry of entries) simulation.store.cutOff(entry);
        await run(500);
        simulation.store.removeServer(LEAVING);
        await run(duration - 500);
        for (const entry of entries) simulation.store.reconnect(entry);
        const healedAt = simulation.now();
        await run(CONTACT_MILLISECONDS + 2000);
        const { gaps, lastUsedAt } = observe();
        expect(lastUsedAt - healedAt, `cut for ${duration} ms`).toBeLessThan(CONTACT_MILLISECONDS);
        expect(gaps).toEqual([]);
      }
    },
  );

  // Guards against timers that fire early by the process's clock.
  it('gets nothing although clocks are slower than timers', async () => {
    for (const duration of durations(3500, 5800, 200)) {
      const { simulation, entries, run, observe } = await startFleet({ clockRate: 0.9995 });
      for (const entry of entries) simulation.store.cutOff(entry);
      await run(500);
      simulation.store.removeServer(LEAVING);
      await run(duration - 500);
      for (const entry of entries) simulation.store.reconnect(entry);
      const healedAt = simulation.now();
      await run(CONTACT_MILLISECONDS + 2000);
      expect(observe().lastUsedAt - healedAt, `cut for ${duration} ms`).toBeLessThan(
        CONTACT_MILLISECONDS,
      );
    }
  });

  // Guards against an entry that keeps a server although its peers know that the store removed it.
  it('gets nothing from an entry whose peers reach the store', async () => {
    for (const duration of durations(3500, 5800, 500)) {
      const { simulation, entries, run, observe } = await startFleet({ entries: 4 });
      const [cutEntry = ''] = entries;
      simulation.store.cutOff(cutEntry);
      await run(500);
      simulation.store.removeServer(LEAVING);
      const removedAt = simulation.now();
      await run(duration - 500);
      simulation.store.reconnect(cutEntry);
      await run(CONTACT_MILLISECONDS);
      const { gaps, lastUsedAt } = observe();
      expect(lastUsedAt - removedAt, `cut for ${duration} ms`).toBeLessThan(
        DRAINING_BOUND_MILLISECONDS,
      );
      expect(gaps).toEqual([]);
    }
  });
});

describe('a server that leaves while the readers of a large fleet stop', () => {
  // Guards against entries that take the silence of their readers for an outage of the store.
  it.each([1, 100])(
    'gets nothing in time, with a message delay of %i ms',
    async (delayMilliseconds) => {
      for (const offset of [0, 600, 1200]) {
        const { simulation, entries, run, observe } = await startFleet({
          ...LARGE_FLEET,
          delayMilliseconds,
        });
        await run(offset);
        const readers = new Set(
          simulation.entriesWithRole(ReadingRole.Reader).map(({ name }) => name.instanceId),
        );
        for (const reader of readers) simulation.kill(reader);
        await run(20);
        simulation.store.removeServer(LEAVING);
        const removedAt = simulation.now();
        await run(LARGE_FLEET.drainingBoundMilliseconds + 2000);
        const { gaps, lastUsedAt } = observe(entries.filter((entry) => !readers.has(entry)));
        expect(lastUsedAt - removedAt, `readers stopped after ${offset} ms`).toBeLessThan(
          LARGE_FLEET.drainingBoundMilliseconds,
        );
        expect(gaps).toEqual([]);
      }
    },
  );
});

describe('servers whose rows expire while the store is down', () => {
  // Guards against rejecting requests after an outage because the first list lacks live servers.
  it.each([1, 2, 7])('stay in use at %i entries, whenever the store returns', async (entries) => {
    for (const duration of durations(2500, 6900, 200)) {
      const { simulation, run, observe } = await startFleet({ entries });
      simulation.store.stop();
      await run(duration);
      simulation.store.restart();
      await run(CONTACT_MILLISECONDS + 1000);
      expect(observe().gaps, `down for ${duration} ms`).toEqual([]);
    }
  });

  // Guards against the same in a large fleet, where most entries make no calls of their own.
  it('stay in use at all entries of a large fleet', async () => {
    for (const duration of [2800, 3700, 4500, 6100]) {
      const { simulation, run, observe } = await startFleet(LARGE_FLEET);
      simulation.store.stop();
      await run(duration);
      simulation.store.restart();
      await run(LARGE_FLEET_CONTACT_MILLISECONDS);
      expect(observe().gaps, `down for ${duration} ms`).toEqual([]);
    }
  });

  // Guards against counting only the first of two outages.
  it('stay in use when the store goes down again before all have registered', async () => {
    for (const pause of durations(100, 2500, 200)) {
      const { simulation, run, observe } = await startFleet();
      simulation.store.stop();
      await run(4500);
      simulation.store.restart();
      await run(pause);
      simulation.store.stop();
      await run(3300);
      simulation.store.restart();
      await run(CONTACT_MILLISECONDS + 1000);
      expect(observe().gaps, `down again after ${pause} ms`).toEqual([]);
    }
  });

  // Guards against a fix for one of the two faults that breaks the other.
  it('stay in use while one that ended meanwhile is dropped', async () => {
    for (const duration of durations(3700, 6900, 200)) {
      const { simulation, run, observe } = await startFleet();
      simulation.store.stop();
      await run(500);
      simulation.store.removeServer(LEAVING);
      await run(duration - 500);
      simulation.store.restart();
      const returnedAt = simulation.now();
      await run(CONTACT_MILLISECONDS + 2000);
      const { gaps, lastUsedAt } = observe();
      expect(gaps, `down for ${duration} ms`).toEqual([]);
      expect(lastUsedAt - returnedAt, `down for ${duration} ms`).toBeLessThan(CONTACT_MILLISECONDS);
    }
  });

  // Guards against an entry whose own path returns later than the store.
  it('stay in use at an entry that is cut off beyond the outage', async () => {
    for (const further of durations(200, 2600, 200)) {
      const { simulation, entries, run, observe } = await startFleet({ entries: 1 });
      const [cutEntry = ''] = entries;
      simulation.store.stop();
      simulation.store.cutOff(cutEntry);
      await run(500);
      simulation.store.removeServer(LEAVING);
      await run(4000);
      simulation.store.restart();
      await run(further);
      simulation.store.reconnect(cutEntry);
      const healedAt = simulation.now();
      await run(CONTACT_MILLISECONDS + 2000);
      const { gaps, lastUsedAt } = observe();
      expect(gaps, `cut for ${further} ms longer`).toEqual([]);
      expect(lastUsedAt - healedAt, `cut for ${further} ms longer`).toBeLessThan(
        CONTACT_MILLISECONDS,
      );
    }
  });
});

describe('servers that are missing when a paused process resumes', () => {
  // Guards against dropping live servers because the process made no call that could fail.
  it('stay in use until they have had time to register again', () => {
    const catalog = createCatalog();
    let now = 0;
    let completeAt = 0;
    const unlistedServers = createUnlistedServers({
      catalog,
      logger: createSilentLogger(),
      now: () => now,
      drainingBoundMilliseconds: () => DRAINING_BOUND_MILLISECONDS,
      completeAt: () => completeAt,
      refresh: () => undefined,
    });
    const servers = new Map([[LEAVING, createSimulatedServer(LEAVING)]]);
    unlistedServers.apply({ revision: 1, servers });
    function confirm(at: number): void {
      now = at;
      completeAt = at;
      unlistedServers.onConfirmed(at);
      unlistedServers.review();
    }

    now = 6000;
    completeAt = 6000;
    unlistedServers.onConfirmed(6000);
    unlistedServers.apply({ revision: 2, servers: new Map() });
    expect(catalog.servers().servers.has(LEAVING)).toBe(true);
    expect(unlistedServers.count()).toBe(1);
    for (let at = 6500; at < 8000; at += 500) confirm(at);
    expect(catalog.servers().servers.has(LEAVING)).toBe(true);
    confirm(6000 + CONTACT_MILLISECONDS - 100);
    expect(catalog.servers().servers.has(LEAVING)).toBe(false);
  });
});
