/**
 * The sidecars of one group in simulated time, for tests: the program's own parts, joined by a
 * network and a store that delay. Machines stop and go on: calls and datagrams to and from a
 * stopped one wait until then, as do its own.
 */
import { createEntryFleet, InstanceRole } from '@lapisbridge/fleet';
import type {
  DatagramLink,
  DatagramLinkOptions,
  FleetMessage,
  InstanceName,
} from '@lapisbridge/fleet';
import { askLeader, createLeadership, createRankRelay, firstMap } from '@lapisbridge/group-leader';
import type {
  DemandWatch,
  GroupProfile,
  Leadership,
  RankEngine,
  RankLink,
  RankRelay,
} from '@lapisbridge/group-leader';
import { TransactionKind } from '@lapisbridge/catalog';
import type { Store, StoreRow } from '@lapisbridge/catalog';
import type { JsonAnswer, JsonCall, JsonObject } from '@lapisbridge/json-call';
import { createRandom, monotonicClock } from '@lapisbridge/kernel';
import { createSilentLogger } from '@lapisbridge/logger';
import { OrderOutcome } from '@lapisbridge/placement';
import type { GroupMap, RankOrder } from '@lapisbridge/placement';

import { playEngines } from './played-engines.js';
import type { PlayedEngines } from './played-engines.js';
import { createRankMember } from './rank-member.js';
import type { RankMember } from './rank-member.js';

export interface PlayedGroupOptions {
  readonly seed: number;
  readonly ranks: number;
  /** An engine has carried out an order. */
  onOrder?(rank: number, order: RankOrder): void;
}

export interface PlayedGroup {
  readonly engines: PlayedEngines;
  start(): Promise<void>;
  end(): void;
  /** Rank whose sidecar leads and is not stopped. */
  leader(): number | undefined;
  /** Lets the demand ask the leader for another map. */
  wantMap(): void;
  /** Stops a rank's machine: its sidecar and its engine. */
  stop(rank: number): void;
  resume(rank: number): void;
  /** What the sidecars' parts reach the network by; a test puts them in place of the real ones. */
  readonly network: PlayedNetwork;
}

export interface PlayedNetwork {
  call(call: JsonCall): Promise<JsonAnswer>;
  createDatagramLink(options: DatagramLinkOptions): DatagramLink;
  createDemandWatch(): DemandWatch;
  /** The calls of a leader wait while its machine stands still. */
  wrapLink(engine: RankEngine, link: RankLink): RankLink;
}

const SERVICE = 'model';
const PROFILE: GroupProfile = { sets: 1, experts: 12, placesPerRank: 4, newPerRank: 2 };
const SIDECAR_PORT = 90;
const ENGINE_PORT = 80;
const ENTRY_HOST = 'entry-host';
/** One way between two machines. */
const HOP_MILLISECONDS = 4;
const STORE_MILLISECONDS = 20;
const ENGINE_TIMEOUT_MILLISECONDS = 180;

interface Machine {
  /** Settles as the machine goes on; undefined while it runs. */
  stopped: { readonly isOver: Promise<void>; end(): void } | undefined;
}

interface PlayedSidecar {
  readonly leadership: Leadership;
  readonly member: RankMember;
  readonly relay: RankRelay;
}

function sleep(milliseconds: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, milliseconds);
  });
}

function within<T>(milliseconds: number, call: Promise<T>): Promise<T> {
  return new Promise((resolve, reject) => {
    const timer = setTimeout(() => reject(new Error('no answer in time')), milliseconds);
    call.then(resolve, reject).finally(() => clearTimeout(timer));
  });
}

const hostOf = (rank: number): string => `host-${rank}`;
const rankOf = (host: string): number => Number(host.slice(hostOf(0).length - 1));

/** Rows under a condition. */
function playStore(): Store {
  const rows = new Map<string, StoreRow>();
  let revision = 1;
  return {
    async list() {
      await sleep(STORE_MILLISECONDS);
      return { rows: [...rows.values()], revision, givenAt: 0 };
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

export function playGroup(options: PlayedGroupOptions): PlayedGroup {
  const { ranks } = options;
  const now = monotonicClock;
  const random = createRandom(options.seed);
  const first = firstMap(PROFILE, ranks);
  const engines = playEngines(ranks, first, now);
  const machines = Array.from({ length: ranks }, (): Machine => ({ stopped: undefined }));
  const sidecars: PlayedSidecar[] = [];
  const rankOfEngine = new Map<RankEngine, number>();
  const receivers = new Map<string, (from: InstanceName, message: FleetMessage) => void>();
  const timers = new Set<NodeJS.Timeout>();
  const store = playStore();
  let wanted: GroupMap | undefined;
  let variant = 0;

  async function untilRunning(host: string): Promise<void> {
    const machine = host === ENTRY_HOST ? undefined : machines[rankOf(host)];
    while (machine?.stopped !== undefined) await machine.stopped.isOver;
  }

  /** From one machine to the other and back, with what happens there in between. */
  async function reach<T>(from: string, to: string, act: () => T | Promise<T>): Promise<T> {
    await untilRunning(from);
    if (from !== to) await sleep(HOP_MILLISECONDS);
    await untilRunning(to);
    const answer = await act();
    if (from !== to) await sleep(HOP_MILLISECONDS);
    await untilRunning(from);
    return answer;
  }

  function carryOut(rank: number, order: RankOrder): OrderOutcome {
    const outcome = engines.order(rank, order);
    if (outcome === OrderOutcome.Accepted) options.onOrder?.(rank, order);
    return outcome;
  }

  function engineOf(caller: number): RankEngine {
    const from = hostOf(caller);
    const ask = <T>(host: string, act: (rank: number) => T): Promise<T> =>
      within(
        ENGINE_TIMEOUT_MILLISECONDS,
        reach(from, host, () => act(rankOf(host))),
      );
    return {
      report: ({ host }) => ask(host, engines.report),
      counts: async () => undefined,
      map: ({ host }) =>
        ask(host, (rank) => ({
          version: engines.report(rank).activeVersion,
          experts: engines.experts(rank),
        })),
      order: ({ host }, order) => ask(host, (rank) => carryOut(rank, order)),
    };
  }

  const network: PlayedNetwork = {
    async call({ host, path, body, timeoutMilliseconds }) {
      const answered = reach(ENTRY_HOST, host, () =>
        sidecars[rankOf(host)]?.relay.answer(path, Buffer.from(JSON.stringify(body ?? {}))),
      );
      const answer = await within(timeoutMilliseconds, answered);
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
    createDemandWatch: () => ({
      isDue: () => wanted !== undefined,
      async consider() {
        const map = wanted;
        wanted = undefined;
        return map;
      },
    }),
    wrapLink(engine, link) {
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
        passOver: (silent) => link.passOver(silent),
      };
    },
  };

  function send(from: InstanceName, host: string, message: FleetMessage): void {
    void reach(from.host, host, () => receivers.get(host)?.(from, message));
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
      onLoads: () => undefined,
      send: (host, message) => send(self, host, message),
      requestTick: () => void setTimeout(() => fleet.tick(), 1),
      now,
      random,
    });
    receivers.set(ENTRY_HOST, fleet.receive);
    repeat(() => fleet.tick());
  }

  function createSidecar(rank: number): PlayedSidecar {
    const host = hostOf(rank);
    const backendServer = { host, port: ENGINE_PORT };
    const logger = createSilentLogger();
    const engine = engineOf(rank);
    rankOfEngine.set(engine, rank);
    const call = <T>(act: () => Promise<T>): Promise<T> => reach(host, host, act);
    const leadership = createLeadership({
      store: {
        list: (table, part) => call(() => store.list(table, part)),
        feed: (table, since, wait) => call(() => store.feed(table, since, wait)),
        write: (table, part, writes) => call(() => store.write(table, part, writes)),
      },
      instanceId: host,
      host,
      ask: (leader) => call(() => askLeader({ host: leader, port: SIDECAR_PORT })),
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
      firstMap: () => member.firstMap(),
      acceptFence: (fence) => leadership.accept(fence),
      ownFence: () => leadership.fence(),
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
          leadership.fence() !== undefined && machines[at]?.stopped === undefined,
      );
      return rank === -1 ? undefined : rank;
    },
    wantMap() {
      variant += 1;
      // Neither of the two experts that the rank has in the first map.
      const offset = 1 + (variant % (ranks - 1));
      const sets = first.sets.map(({ experts }) => ({
        experts: experts.map((held, rank) => [...held, (rank + offset) % PROFILE.experts]),
      }));
      wanted = { sets };
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
