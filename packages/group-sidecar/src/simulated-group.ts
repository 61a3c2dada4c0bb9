/**
 * Simulated sidecars of one group, for tests: the program's own modules, connected by a network and
 * a store with delays. Machines can be stopped and resumed: calls and datagrams to and from a
 * stopped machine wait until it resumes.
 */
import { createEntryFleet, InstanceRole } from '@lapisbridge/fleet';
import type {
  DatagramLink,
  DatagramLinkOptions,
  FleetMessage,
  InstanceName,
} from '@lapisbridge/fleet';
import {
  queryLeader,
  createLeadership,
  createRankRelay,
  initialGroupMap,
} from '@lapisbridge/group-leader';
import type {
  MapPlanner,
  GroupProfile,
  Leadership,
  RankEngine,
  RankClient,
  RankRelay,
} from '@lapisbridge/group-leader';
import { TransactionKind } from '@lapisbridge/catalog';
import type { Store, StoreRow } from '@lapisbridge/catalog';
import type { JsonAnswer, JsonCall, JsonObject } from '@lapisbridge/json-call';
import { createRandom, monotonicClock } from '@lapisbridge/kernel';
import { createSilentLogger } from '@lapisbridge/logger';
import { OrderOutcome } from '@lapisbridge/placement';
import type { GroupMap, RankOrder } from '@lapisbridge/placement';

import { createSimulatedEngines } from './simulated-engines.js';
import type { SimulatedEngines } from './simulated-engines.js';
import { createRankMember } from './rank-member.js';
import type { RankMember } from './rank-member.js';

export interface SimulatedGroupOptions {
  readonly seed: number;
  readonly ranks: number;
  /** Called when an engine has accepted an order. */
  onOrder?(rank: number, order: RankOrder): void;
}

export interface SimulatedGroup {
  readonly engines: SimulatedEngines;
  start(): Promise<void>;
  end(): void;
  /** Rank of the leader, if its machine is not stopped. */
  leader(): number | undefined;
  /** Makes the leader's map planner return a new map. */
  requestMap(): void;
  /** Stops a rank's machine, with its sidecar and its engine. */
  stop(rank: number): void;
  resume(rank: number): void;
  /** Replacements for the modules through which sidecars reach the network, for a test to mock. */
  readonly network: SimulatedNetwork;
}

export interface SimulatedNetwork {
  call(call: JsonCall): Promise<JsonAnswer>;
  createDatagramLink(options: DatagramLinkOptions): DatagramLink;
  createMapPlanner(): MapPlanner;
  /** Delays the calls of a leader while its machine is stopped. */
  wrapRankClient(engine: RankEngine, link: RankClient): RankClient;
}

const SERVICE = 'model';
const PROFILE: GroupProfile = { sets: 1, experts: 12, placesPerRank: 4, newPerRank: 2 };
const SIDECAR_PORT = 90;
const ENGINE_PORT = 80;
const ENTRY_HOST = 'entry-host';
/** One-way latency between two machines. */
const HOP_MILLISECONDS = 4;
const STORE_MILLISECONDS = 20;
const ENGINE_TIMEOUT_MILLISECONDS = 180;

interface Machine {
  /** `isOver` settles when the machine resumes. Undefined while the machine runs. */
  stopped: { readonly isOver: Promise<void>; end(): void } | undefined;
}

interface SimulatedSidecar {
  readonly leadership: Leadership;
  readonly member: RankMember;
  readonly relay: RankRelay;
}

function sleep(milliseconds: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, milliseconds);
  });
}

function withTimeout<T>(milliseconds: number, call: Promise<T>): Promise<T> {
  return new Promise((resolve, reject) => {
    const timer = setTimeout(() => reject(new Error('no answer in time')), milliseconds);
    call.then(resolve, reject).finally(() => clearTimeout(timer));
  });
}

const hostOf = (rank: number): string => `host-${rank}`;
const rankOf = (host: string): number => Number(host.slice(hostOf(0).length - 1));

/** A store with conditional writes. */
function createSimulatedStore(): Store {
  const rows = new Map<string, StoreRow>();
  let revision = 1;
  return {
    async list() {
      await sleep(STORE_MILLISECONDS);
      return { rows: [...rows.values()], revision, answeredAt: 0 };
    },
    feed: () => Promise.reject(new Error('not used')),
    async write(table, part, writes) {
      await sleep(STORE_MILLISECONDS);
      for (const { key, expectedRevision } of writes) {
        if ((rows.get(key)?.revision ?? 0) !== expectedRevision) {
          return { kind: TransactionKind.Conflict, revision };
        }
      }
      revision += 1;
      for (const { key, value } of writes) rows.set(key, { table, part, key, value, revision });
      return { kind: TransactionKind.Applied, revision };
    },
  };
}

export function createSimulatedGroup(options: SimulatedGroupOptions): SimulatedGroup {
  const { ranks } = options;
  const now = monotonicClock;
  const random = createRandom(options.seed);
  const initialMap = initialGroupMap(PROFILE, ranks);
  const engines = createSimulatedEngines(ranks, initialMap, now);
  const machines = Array.from({ length: ranks }, (): Machine => ({ stopped: undefined }));
  const sidecars: SimulatedSidecar[] = [];
  const rankOfEngine = new Map<RankEngine, number>();
  const receivers = new Map<string, (from: InstanceName, message: FleetMessage) => void>();
  const timers = new Set<NodeJS.Timeout>();
  const store = createSimulatedStore();
  let requestedMap: GroupMap | undefined;
  let variant = 0;

  async function untilRunning(host: string): Promise<void> {
    const machine = host === ENTRY_HOST ? undefined : machines[rankOf(host)];
    while (machine?.stopped !== undefined) await machine.stopped.isOver;
  }

  /**
   * Runs `act` at another machine, with the latency there and back; waits while either is stopped.
   */
  async function callAcross<T>(from: string, to: string, act: () => T | Promise<T>): Promise<T> {
    await untilRunning(from);
    if (from !== to) await sleep(HOP_MILLISECONDS);
    await untilRunning(to);
    const answer = await act();
    if (from !== to) await sleep(HOP_MILLISECONDS);
    await untilRunning(from);
    return answer;
  }

  function executeOrder(rank: number, order: RankOrder): OrderOutcome {
    const outcome = engines.order(rank, order);
    if (outcome === OrderOutcome.Accepted) options.onOrder?.(rank, order);
    return outcome;
  }

  function engineOf(caller: number): RankEngine {
    const from = hostOf(caller);
    const ask = <T>(host: string, act: (rank: number) => T): Promise<T> =>
      withTimeout(
        ENGINE_TIMEOUT_MILLISECONDS,
        callAcross(from, host, () => act(rankOf(host))),
      );
    return {
      report: ({ host }) => ask(host, engines.report),
      counts: async () => undefined,
      map: ({ host }) =>
        ask(host, (rank) => ({
          version: engines.report(rank).activeVersion,
          experts: engines.experts(rank),
        })),
      order: ({ host }, order) => ask(host, (rank) => executeOrder(rank, order)),
    };
  }

  const network: SimulatedNetwork = {
    async call({ host, path, body, timeoutMilliseconds }) {
      const answered = callAcross(ENTRY_HOST, host, () =>
        sidecars[rankOf(host)]?.relay.handle(path, Buffer.from(JSON.stringify(body ?? {}))),
      );
      const answer = await withTimeout(timeoutMilliseconds, answered);
      return { status: answer === undefined ? 404 : 200, body: (answer ?? {}) as JsonObject };
    },
    createDatagramLink({ self, onMessage }) {
      receivers.set(self.host, onMessage);
      return {
        start: async () => undefined,
        stop: () => receivers.delete(self.host),
        send: (host, message) => send(self, host, message),
        sent: () => new Map(),
      };
    },
    createMapPlanner: () => ({
      isDue: () => requestedMap !== undefined,
      async plan() {
        const map = requestedMap;
        requestedMap = undefined;
        return map;
      },
    }),
    wrapRankClient(engine, link) {
      const host = hostOf(rankOfEngine.get(engine) ?? 0);
      const paused = async <T>(call: () => Promise<T>): Promise<T> => {
        await untilRunning(host);
        const answer = await call();
        await untilRunning(host);
        return answer;
      };
      return {
        report: (target) => paused(() => link.report(target)),
        map: (target) => paused(() => link.map(target)),
        order: (target, relayed) => paused(() => link.order(target, relayed)),
        markUnreachable: (silent) => link.markUnreachable(silent),
      };
    },
  };

  function send(from: InstanceName, host: string, message: FleetMessage): void {
    void callAcross(from.host, host, () => receivers.get(host)?.(from, message));
  }

  function repeat(act: () => number): void {
    const timer = setTimeout(() => {
      timers.delete(timer);
      repeat(act);
    }, act());
    timers.add(timer);
  }

  function startEntry(): void {
    const self = {
      instanceId: 'entry',
      host: ENTRY_HOST,
      role: InstanceRole.Entry,
      availabilityZone: 'zone',
    };
    const fleet = createEntryFleet({
      self,
      logger: createSilentLogger(),
      seedHosts: () => [ENTRY_HOST],
      sidecars: () => machines.map((_, rank) => ({ host: hostOf(rank), availabilityZone: 'zone' })),
      fleetSize: () => 1,
      profiles: () => ({ [SERVICE]: PROFILE }),
      freshness: () => ({}),
      onFreshness: () => undefined,
      rateLimits: () => [],
      onRateLimits: () => undefined,
      crashes: () => ({}),
      onCrashes: () => undefined,
      accountDemand: () => [],
      onAccountDemand: () => undefined,
      onLoads: () => undefined,
      send: (host, message) => send(self, host, message),
      requestTick: () => void setTimeout(() => fleet.tick(), 1),
      now,
      random,
    });
    receivers.set(ENTRY_HOST, fleet.receive);
    repeat(() => fleet.tick());
  }

  function createSidecar(rank: number): SimulatedSidecar {
    const host = hostOf(rank);
    const backendServer = { host, port: ENGINE_PORT };
    const logger = createSilentLogger();
    const engine = engineOf(rank);
    rankOfEngine.set(engine, rank);
    const call = <T>(act: () => Promise<T>): Promise<T> => callAcross(host, host, act);
    const leadership = createLeadership({
      store: {
        list: (table, part) => call(() => store.list(table, part)),
        feed: (table, since, wait) => call(() => store.feed(table, since, wait)),
        write: (table, part, writes) => call(() => store.write(table, part, writes)),
      },
      instanceId: host,
      host,
      queryLeader: (leader) => call(() => queryLeader({ host: leader, port: SIDECAR_PORT })),
      logger,
      now,
      random,
    });
    const member = createRankMember({
      settings: () => ({
        instanceId: host,
        host,
        availabilityZone: 'zone',
        service: SERVICE,
        callerAddress: undefined,
        readinessAddress: undefined,
        backendServerAddress: backendServer,
        peerPort: SIDECAR_PORT,
        metricsPort: 0,
        seedHosts: [ENTRY_HOST],
        storeAddress: { host: 'store', port: 0 },
        graceMilliseconds: 0,
        configurationBoundMilliseconds: 0,
        drainingBoundMilliseconds: 0,
        retryRatio: 0,
        retrySlack: 0,
        retryWindowMilliseconds: 0,
      }),
      backendServer,
      engine,
      leadership,
      logger,
      now,
      random,
    });
    const relay = createRankRelay({
      backendServer,
      engine,
      logger,
      initialGroupMap: () => member.initialGroupMap(),
      acceptFencingNumber: (fencingNumber) => leadership.acceptFencingNumber(fencingNumber),
      ownFencingNumber: () => leadership.fencingNumber(),
    });
    return { leadership, member, relay };
  }

  return {
    engines,
    network,
    async start() {
      for (let rank = 0; rank < ranks; rank += 1) sidecars.push(createSidecar(rank));
      engines.start();
      startEntry();
      for (const { member } of sidecars) await member.start();
    },
    end() {
      for (const { member } of sidecars) member.stop();
      for (const timer of timers) clearTimeout(timer);
      engines.stop();
    },
    leader() {
      const rank = sidecars.findIndex(
        ({ leadership }, at) =>
          leadership.fencingNumber() !== undefined && machines[at]?.stopped === undefined,
      );
      return rank === -1 ? undefined : rank;
    },
    requestMap() {
      variant += 1;
      // An expert that is neither of the two that the rank holds in the initial map.
      const offset = 1 + (variant % (ranks - 1));
      const sets = initialMap.sets.map(({ experts }) => ({
        experts: experts.map((held, rank) => [...held, (rank + offset) % PROFILE.experts]),
      }));
      requestedMap = { sets };
    },
    stop(rank) {
      let end = (): void => undefined;
      const isOver = new Promise<void>((resolve) => {
        end = resolve;
      });
      const machine = machines[rank];
      if (machine !== undefined && machine.stopped === undefined) machine.stopped = { isOver, end };
    },
    resume(rank) {
      const machine = machines[rank];
      machine?.stopped?.end();
      if (machine !== undefined) machine.stopped = undefined;
    },
  };
}
