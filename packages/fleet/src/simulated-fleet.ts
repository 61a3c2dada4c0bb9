/**
 * A fleet in simulated time for tests: the real state machines of entries and sidecars, connected
 * by a simulated network with delay, loss and partitions. Runs are deterministic for a seed.
 */
import { planReportingIntervals } from '@lapisbridge/group-leader';
import type { QuantizedCountDelta } from '@lapisbridge/group-leader';
import type { JsonObject } from '@lapisbridge/json-call';
import { createRandom } from '@lapisbridge/kernel';
import type { DemandScope, DemandSource, DemandStatement } from '@lapisbridge/load-shedding';
import { createSilentLogger } from '@lapisbridge/logger';

import { createEntryFleet } from './entry-fleet.js';
import type { EntryFleet } from './entry-fleet.js';
import { decodeDatagram, encodeDatagram, InstanceRole, MessageKind } from './message.js';
import type { FleetMessage, InstanceName, RankState, RelayedRateLimit } from './message.js';
import type { RankLoad } from './pack-loads.js';
import { createSidecarFleet } from './sidecar-fleet.js';
import type { SidecarFleet } from './sidecar-fleet.js';

export interface SimulatedFleetOptions {
  readonly seed: number;
  readonly zones: number;
  readonly entries: number;
  readonly sidecars: number;
  /** Fraction of datagrams that are lost, from 0 to 1. */
  readonly lossRatio?: number;
  /** Instances start at random times within this window. */
  readonly startWithinMilliseconds?: number;
  /** Network delay of a datagram. */
  readonly delayMilliseconds?: number;
  /** Freshness of an entry's copies of the store's tables. */
  freshness?(entry: InstanceName): JsonObject;
  onFreshness?(entry: InstanceName, from: InstanceName, freshness: JsonObject): void;
  /** What an entry knows of crashed servers. */
  crashes?(entry: InstanceName): JsonObject;
  onCrashes?(entry: InstanceName, from: InstanceName, crashes: JsonObject): void;
  /** Demand of client accounts as an entry states it. */
  accountDemand?(
    entry: InstanceName,
    scope: DemandScope,
    maximumAccounts: number,
  ): readonly DemandStatement[];
  onAccountDemand?(
    entry: InstanceName,
    source: DemandSource,
    statements: readonly DemandStatement[],
  ): void;
}

export interface SimulatedEntry {
  readonly name: InstanceName;
  readonly fleet: EntryFleet;
  /** Last received load of each rank and when it was received, by rank. */
  readonly loads: Map<number, { readonly load: RankLoad; readonly at: number }>;
  /** Freshness reports received from other entries. */
  readonly freshness: { readonly from: string; readonly at: number }[];
  /** Rate limits and when they were stated, by the backend server's instance id. */
  readonly rateLimits: Map<string, SimulatedRateLimit>;
}

export interface SimulatedRateLimit {
  readonly requestsPerSecond: number | undefined;
  readonly at: number;
}

export interface SimulatedSidecar {
  readonly name: InstanceName;
  readonly fleet: SidecarFleet;
  readonly rank: number;
  running: number;
  isOpen: boolean;
  fence: number | undefined;
  /** Count increments received as a leader. */
  readonly growths: QuantizedCountDelta[];
  latestLeaderFence: number;
}

export interface Traffic {
  readonly datagrams: ReadonlyMap<string, number>;
  /** Datagrams and bytes that each instance received, by instance id. */
  readonly received: ReadonlyMap<string, { readonly datagrams: number; readonly bytes: number }>;
}

export interface SimulatedFleet {
  readonly entries: readonly SimulatedEntry[];
  readonly sidecars: readonly SimulatedSidecar[];
  now(): number;
  run(milliseconds: number): void;
  /** Stops an instance without notifying others. */
  kill(instanceId: string): void;
  /** Suspends an instance; datagrams sent to it are delivered when it resumes. */
  pause(instanceId: string): void;
  resume(instanceId: string): void;
  /** Drops datagrams between two instances for which the predicate returns true. */
  partition(isPartitioned: (from: InstanceName, to: InstanceName) => boolean): void;
  /** Resets the traffic counters, and returns live counts. */
  countTraffic(): Traffic;
}

const GROUP = 'group';
const BACKEND_SERVER_PORT = 80;
const SIDECAR_PORT = 90;
const DEFAULT_DELAY_MILLISECONDS = 1;
/** A relayed value gains at most this much age in transit. */
const RELAY_AGE_TOLERANCE_MILLISECONDS = 50;

interface ScheduledEvent {
  readonly at: number;
  readonly order: number;
  readonly run: () => void;
}

/** Runs callbacks in order of their scheduled times. */
function createTimeline(): {
  now(): number;
  schedule(ms: number, run: () => void): void;
  runUntil(at: number): void;
} {
  const events: ScheduledEvent[] = [];
  let now = 0;
  let order = 0;
  return {
    now: () => now,
    schedule(milliseconds, run) {
      const event = { at: now + milliseconds, order, run };
      order += 1;
      let low = 0;
      let high = events.length;
      while (low < high) {
        const middle = Math.floor((low + high) / 2);
        if ((events[middle]?.at ?? 0) <= event.at) low = middle + 1;
        else high = middle;
      }
      events.splice(low, 0, event);
    },
    runUntil(at) {
      for (;;) {
        const [next] = events;
        if (next === undefined || next.at > at) break;
        events.shift();
        now = next.at;
        next.run();
      }
      now = at;
    },
  };
}

interface SimulatedInstance {
  readonly name: InstanceName;
  receive(from: InstanceName, message: FleetMessage): void;
}

export function simulateFleet(options: SimulatedFleetOptions): SimulatedFleet {
  const random = createRandom(options.seed);
  const timeline = createTimeline();
  const byHost = new Map<string, SimulatedInstance>();
  const dead = new Set<string>();
  /** Callbacks deferred until a paused instance resumes, by instance id. */
  const paused = new Map<string, (() => void)[]>();
  const entries: SimulatedEntry[] = [];
  const sidecars: SimulatedSidecar[] = [];
  let isPartitioned: (from: InstanceName, to: InstanceName) => boolean = () => false;
  let datagrams = new Map<string, number>();
  let received = new Map<string, { datagrams: number; bytes: number }>();

  function deliver(from: InstanceName, host: string, bytes: Buffer, kind: string): void {
    const target = byHost.get(host);
    if (target === undefined || dead.has(target.name.instanceId)) return;
    if (dead.has(from.instanceId) || isPartitioned(from, target.name)) return;
    const deferred = paused.get(target.name.instanceId);
    if (deferred !== undefined) {
      deferred.push(() => deliver(from, host, bytes, kind));
      return;
    }
    const datagram = decodeDatagram(bytes);
    if (datagram === undefined) throw new Error(`${kind} does not decode`);
    const count = received.get(target.name.instanceId) ?? { datagrams: 0, bytes: 0 };
    count.datagrams += 1;
    count.bytes += bytes.length;
    received.set(target.name.instanceId, count);
    target.receive(datagram.from, datagram.message);
  }

  function sender(from: InstanceName): (host: string, message: FleetMessage) => void {
    return (host, message) => {
      datagrams.set(message.kind, (datagrams.get(message.kind) ?? 0) + 1);
      if (random() < (options.lossRatio ?? 0)) return;
      const bytes = encodeDatagram({ from, sequence: 1, message });
      timeline.schedule(options.delayMilliseconds ?? DEFAULT_DELAY_MILLISECONDS, () =>
        deliver(from, host, bytes, message.kind),
      );
    };
  }

  function start(name: InstanceName, tick: () => number): void {
    const runTick = (): void => {
      if (dead.has(name.instanceId)) return;
      const deferred = paused.get(name.instanceId);
      if (deferred === undefined) timeline.schedule(tick(), runTick);
      else deferred.push(runTick);
    };
    timeline.schedule(random() * (options.startWithinMilliseconds ?? 300), runTick);
  }

  const zoneOf = (index: number): string => `zone-${index % options.zones}`;
  const seedHosts = (): string[] =>
    Array.from({ length: Math.min(3, options.entries) }, (_, index) => `entry-host-${index}`);
  const sidecarAddresses = Array.from({ length: options.sidecars }, (_, index) => ({
    host: `sidecar-host-${index}`,
    availabilityZone: zoneOf(index),
  }));

  for (let index = 0; index < options.entries; index += 1) {
    const name = {
      instanceId: `entry-${index}`,
      host: `entry-host-${index}`,
      role: InstanceRole.Entry,
      availabilityZone: zoneOf(index),
    };
    const loads: SimulatedEntry['loads'] = new Map();
    const freshness: { from: string; at: number }[] = [];
    const rateLimits: SimulatedEntry['rateLimits'] = new Map();
    const handleRateLimits = (limits: readonly RelayedRateLimit[]): void => {
      for (const { instanceId, requestsPerSecond, ageMilliseconds } of limits) {
        const at = timeline.now() - ageMilliseconds;
        if (at <= (rateLimits.get(instanceId)?.at ?? -Infinity) + RELAY_AGE_TOLERANCE_MILLISECONDS)
          continue;
        rateLimits.set(instanceId, { requestsPerSecond, at });
        fleet.expediteDigests();
      }
    };
    const fleet: EntryFleet = createEntryFleet({
      self: name,
      logger: createSilentLogger(),
      seedHosts,
      sidecars: () => sidecarAddresses,
      fleetSize: () => Math.max(fleet.entryIds().length, Math.ceil(options.sidecars / 3)),
      profiles: () => ({}),
      freshness: () => options.freshness?.(name) ?? {},
      rateLimits: () =>
        [...rateLimits].map(([instanceId, { requestsPerSecond, at }]) => ({
          instanceId,
          requestsPerSecond,
          ageMilliseconds: timeline.now() - at,
        })),
      onRateLimits: handleRateLimits,
      crashes: () => options.crashes?.(name) ?? {},
      onCrashes: (from, crashes) => options.onCrashes?.(name, from, crashes),
      accountDemand: (scope, maximum) => options.accountDemand?.(name, scope, maximum) ?? [],
      onAccountDemand: (source, statements) => options.onAccountDemand?.(name, source, statements),
      onFreshness(from, relayed) {
        freshness.push({ from: from.instanceId, at: timeline.now() });
        options.onFreshness?.(name, from, relayed);
      },
      onLoads(relayed) {
        for (const load of relayed) loads.set(load.rank, { load, at: timeline.now() });
      },
      send: sender(name),
      requestTick() {
        timeline.schedule(1, () => {
          if (!paused.has(name.instanceId)) fleet.tick();
        });
      },
      now: () => timeline.now(),
      random,
    });
    entries.push({ name, fleet, loads, freshness, rateLimits });
    byHost.set(name.host, { name, receive: fleet.receive });
    start(name, () => fleet.tick());
  }

  for (let rank = 0; rank < options.sidecars; rank += 1) {
    const name = {
      instanceId: `sidecar-${rank}`,
      host: `sidecar-host-${rank}`,
      role: InstanceRole.Sidecar,
      availabilityZone: zoneOf(rank),
    };
    const growths: QuantizedCountDelta[] = [];
    const state = (): RankState => ({
      group: GROUP,
      rank,
      epoch: 1,
      isOpen: sidecar.isOpen,
      running: sidecar.running,
      waiting: 0,
      pace: 1,
      hasPendingOrder: false,
      backendServerPort: BACKEND_SERVER_PORT,
    });
    const fleet = createSidecarFleet({
      self: name,
      sidecarPort: SIDECAR_PORT,
      seedHosts,
      state,
      pace: () => planReportingIntervals(options.sidecars),
      fence: () => sidecar.fence,
      isSettled: () => true,
      onProfiles: () => undefined,
      onLeader(fence) {
        sidecar.latestLeaderFence = fence;
      },
      onGrowth: (growth) => growths.push(growth),
      onQuestion: () => undefined,
      onAnswer: () => undefined,
      send: sender(name),
      now: () => timeline.now(),
    });
    const sidecar: SimulatedSidecar = {
      name,
      fleet,
      rank,
      running: 0,
      isOpen: true,
      fence: undefined,
      growths,
      latestLeaderFence: 0,
    };
    sidecars.push(sidecar);
    byHost.set(name.host, { name, receive: fleet.receive });
    start(name, () => fleet.tick());
  }

  return {
    entries,
    sidecars,
    now: () => timeline.now(),
    run: (milliseconds) => timeline.runUntil(timeline.now() + milliseconds),
    kill: (instanceId) => dead.add(instanceId),
    pause: (instanceId) => paused.set(instanceId, []),
    resume(instanceId) {
      const deferred = paused.get(instanceId) ?? [];
      paused.delete(instanceId);
      for (const run of deferred) run();
    },
    partition(isPartitionedBetween) {
      isPartitioned = isPartitionedBetween;
    },
    countTraffic() {
      datagrams = new Map();
      received = new Map();
      return {
        get datagrams() {
          return datagrams;
        },
        get received() {
          return received;
        },
      };
    },
  };
}

/** Total number of datagrams sent, of all message kinds. */
export function countDatagrams(traffic: Traffic): number {
  let total = 0;
  for (const kind of Object.values(MessageKind)) total += traffic.datagrams.get(kind) ?? 0;
  return total;
}
