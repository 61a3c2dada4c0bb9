/**
 * Many entries in simulated time for tests: their knowledge and their part of the fleet as in the program,
 * and a store that changes the configuration, answers some entries and turns others away.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';

import { createCatalog, decodeCopy, FeedKind, TransactionKind } from '@lapisbridge/catalog';
import type { Catalog, Feed, Store, StoreAnswer, StoreRow } from '@lapisbridge/catalog';
import { simulateFleet } from '@lapisbridge/fleet';
import type { InstanceName, SimulatedEntry, SimulatedFleet, ReadingRole } from '@lapisbridge/fleet';
import { numberOf, parseObject, textOf } from '@lapisbridge/json-call';
import { createRandom } from '@lapisbridge/kernel';
import { createSilentLogger } from '@lapisbridge/logger';
import { vi } from 'vitest';

import type { TableAdapter, TableRows } from './adapters.js';
import type { FollowedTable, FetchedCopy } from './copy-exchange.js';
import { createKnowledge } from './knowledge.js';
import type { Knowledge } from './knowledge.js';

export interface PlayedKnowledgeOptions {
  readonly seed: number;
  readonly zones: number;
  readonly entries: number;
  /** Time of a message between entries on its way. */
  readonly delayMilliseconds: number;
  readonly configurationBoundMilliseconds: number;
  readonly drainingBoundMilliseconds: number;
}

export interface PlayedKnowledge {
  readonly fleet: SimulatedFleet;
  now(): number;
  run(milliseconds: number): Promise<void>;
  entriesAs(role: ReadingRole): readonly SimulatedEntry[];
  /** Lets the store answer no call of an entry but with a refusal. */
  turnAway(instanceId: string): void;
  pause(instanceId: string): void;
  resume(instanceId: string): void;
  kill(instanceId: string): void;
  cutZone(zone: string): void;
  /** Writes a new version. */
  changeConfiguration(): void;
  /** Milliseconds from the last change until it was in force, by entry; infinite where it is not. */
  delays(): ReadonlyMap<string, number>;
}

const OPERATORS = 'operators';
/** Between two steps of simulated time. */
const STEP_MILLISECONDS = 2;
const START_WITHIN_MILLISECONDS = 300;
const STORE_HOP_MILLISECONDS = 2;
const STORE_MILLISECONDS = 700;
const FETCH_MILLISECONDS = 400;

const TABLES: TableAdapter = {
  operatorsTable: OPERATORS,
  serversTable: 'servers',
  decodeOperators(rows: TableRows, revision) {
    const version = Number(rows.get('version')?.value?.toString() ?? 0);
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
  decodeServers: (_rows, revision) => ({ revision, servers: new Map() }),
};

function sleep(milliseconds: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, milliseconds);
  });
}

export function playKnowledge(options: PlayedKnowledgeOptions): PlayedKnowledge {
  const random = createRandom(options.seed);
  const knowledges = new Map<string, Knowledge>();
  const catalogs = new Map<string, Catalog>();
  const inForceAt = new Map<string, Map<number, number>>();
  const turnedAway = new Set<string>();
  const dead = new Set<string>();
  /** Resolved when the entry goes on. */
  const paused = new Map<string, { readonly until: Promise<void>; resume(): void }>();
  let cutZone: string | undefined;
  let revision = 1;
  let version = 1;
  let changedAt = 0;
  let onChange: (() => void)[] = [];

  const fleet = simulateFleet({
    seed: options.seed,
    zones: options.zones,
    entries: options.entries,
    sidecars: 0,
    delayMilliseconds: options.delayMilliseconds,
    freshness: ({ instanceId }) => knowledges.get(instanceId)?.freshness() ?? {},
    onFreshness: ({ instanceId }, from, freshness) =>
      knowledges.get(instanceId)?.onPeerState(from, freshness),
  });
  const byHost = new Map(fleet.entries.map((entry) => [entry.name.host, entry]));

  function isCut(from: InstanceName, to: InstanceName): boolean {
    const zones = [from.availabilityZone, to.availabilityZone];
    return zones[0] !== zones[1] && cutZone !== undefined && zones.includes(cutZone);
  }
  fleet.partition(isCut);

  function rowsOf(table: string): StoreRow[] {
    if (table !== OPERATORS) return [];
    const value = Buffer.from(String(version));
    return [{ table, part: '', key: 'version', value, revision }];
  }

  /** Rejects when the whole call takes longer than the time, whether or not the entry stood still. */
  async function callOf<T>(instanceId: string, most: number, answer: () => Promise<T>): Promise<T> {
    await paused.get(instanceId)?.until;
    const startedAt = fleet.now();
    const result = await answer();
    await paused.get(instanceId)?.until;
    if (fleet.now() - startedAt > most) throw new Error('no answer in time');
    return result;
  }

  async function reachStore(instanceId: string): Promise<void> {
    await sleep(STORE_HOP_MILLISECONDS);
    if (!turnedAway.has(instanceId) && !dead.has(instanceId)) return;
    await sleep(STORE_HOP_MILLISECONDS);
    throw new Error('turned away');
  }

  function waitForChange(milliseconds: number): Promise<void> {
    return new Promise((resolve) => {
      const timer = setTimeout(resolve, milliseconds);
      onChange.push(() => {
        clearTimeout(timer);
        resolve();
      });
    });
  }

  function storeOf(instanceId: string): Store {
    return {
      list: (table): Promise<StoreAnswer> =>
        callOf(instanceId, STORE_MILLISECONDS, async () => {
          await reachStore(instanceId);
          const list = { rows: rowsOf(table), revision, givenAt: fleet.now() };
          await sleep(STORE_HOP_MILLISECONDS);
          return list;
        }),
      feed: (table, since, wait): Promise<Feed> =>
        callOf(instanceId, STORE_MILLISECONDS + wait, async () => {
          await reachStore(instanceId);
          const isFollowed = table === OPERATORS;
          if (!isFollowed) await sleep(wait);
          else if (revision === since) await waitForChange(wait);
          const rows = revision === since ? [] : rowsOf(table);
          const feed: Feed = { kind: FeedKind.Changes, rows, revision, givenAt: fleet.now() };
          await sleep(STORE_HOP_MILLISECONDS);
          return feed;
        }),
      write: () => Promise.resolve({ kind: TransactionKind.Conflict, revision: 0 }),
    };
  }

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
    knowledges
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

  function fetchOf(name: InstanceName, host: string, table: FollowedTable, since: number) {
    return callOf(name.instanceId, FETCH_MILLISECONDS, async () => {
      const target = byHost.get(host)?.name;
      await sleep(options.delayMilliseconds);
      const { instanceId = '' } = target ?? {};
      if (target === undefined || dead.has(instanceId) || isCut(name, target)) {
        await sleep(FETCH_MILLISECONDS);
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
    const times = new Map<number, number>();
    catalog.onChange(() => {
      const known = catalog.operators().configuration?.version;
      if (known !== undefined && !times.has(known)) times.set(known, fleet.now());
    });
    catalogs.set(name.instanceId, catalog);
    inForceAt.set(name.instanceId, times);
    const knowledge = createKnowledge({
      catalog,
      store: storeOf(name.instanceId),
      tables: TABLES,
      logger: createSilentLogger(),
      random,
      availabilityZone: name.availabilityZone,
      now: fleet.now,
      fetchCopy: (host, table, since) => fetchOf(name, host, table, since),
      bounds: () => ({
        configuration: options.configurationBoundMilliseconds,
        draining: options.drainingBoundMilliseconds,
      }),
      livingHosts: () => part.liveHosts(),
      isDelegating: () => part.isDelegating(),
      role: () => part.readingRole(),
      onNews: () => part.expediteDigests(),
    });
    knowledges.set(name.instanceId, knowledge);
  }

  const played: PlayedKnowledge = {
    fleet,
    now: () => fleet.now(),
    async run(milliseconds) {
      for (let passed = 0; passed < milliseconds; passed += STEP_MILLISECONDS) {
        fleet.run(STEP_MILLISECONDS);
        await vi.advanceTimersByTimeAsync(STEP_MILLISECONDS);
      }
    },
    entriesAs: (role) => fleet.entries.filter((entry) => entry.fleet.readingRole() === role),
    turnAway: (instanceId) => turnedAway.add(instanceId),
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
      revision += 1;
      version += 1;
      changedAt = fleet.now();
      const waiting = onChange;
      onChange = [];
      for (const wake of waiting) wake();
    },
    delays() {
      const delays = new Map<string, number>();
      for (const [instanceId, times] of inForceAt) {
        delays.set(instanceId, (times.get(version) ?? Infinity) - changedAt);
      }
      return delays;
    },
  };
  for (const knowledge of knowledges.values()) {
    setTimeout(() => knowledge.start(), Math.floor(random() * START_WITHIN_MILLISECONDS));
  }
  return played;
}
