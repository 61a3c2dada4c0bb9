/**
 * Connects an entry's part of the fleet with its catalog, its ledger of servers and its socket.
 */
import type { Catalog } from '@lapisbridge/catalog';
import { createDatagramLink, createEntryFleet, InstanceRole } from '@lapisbridge/fleet';
import type { EntryFleet, RankLoad, SidecarAddress } from '@lapisbridge/fleet';
import type {
  GroupHealth,
  ServerLoadTracker,
  ServerLiveness,
  ServerRateLimits,
} from '@lapisbridge/forwarding';
import type { GroupProfile } from '@lapisbridge/group-leader';
import { monotonicClock } from '@lapisbridge/kernel';
import type { Random } from '@lapisbridge/kernel';
import type { Logger } from '@lapisbridge/logger';
import type { Metrics } from '@lapisbridge/metrics';
import type { ProcessSettings } from '@lapisbridge/process-life';

import type { Knowledge } from './knowledge.js';

export interface StartFleetOptions {
  settings(): ProcessSettings;
  readonly catalog: Catalog;
  readonly ledger: ServerLoadTracker;
  readonly liveness: ServerLiveness;
  readonly groupHealth: GroupHealth;
  readonly rateLimits: ServerRateLimits;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly random: Random;
  /** Entries to reckon with, given those that are known. */
  fleetSize(known: number): number;
  /** Knowledge and fleet need each other, so it is looked up when used. */
  knowledge(): Knowledge;
}

export interface StartedFleet {
  readonly fleet: EntryFleet;
  start(): Promise<void>;
}

/** News that arrive together are told together. */
const WAKE_MILLISECONDS = 5;

function profilesOf(catalog: Catalog): Record<string, GroupProfile> {
  const known: Record<string, GroupProfile> = {};
  for (const { name, engine } of catalog.operators().configuration?.services.values() ?? []) {
    if (engine === undefined || engine.sets === 0) continue;
    const { sets, experts, placesPerRank, newPerRank } = engine;
    known[name] = { sets, experts, placesPerRank, newPerRank };
  }
  return known;
}

/** Backend servers that have a sidecar: those of lock-step groups. */
function sidecarsOf(catalog: Catalog): SidecarAddress[] {
  const sidecars = new Map<string, SidecarAddress>();
  for (const { host, availabilityZone, groupRank } of catalog.servers().servers.values()) {
    if (groupRank !== undefined) sidecars.set(host, { host, availabilityZone });
  }
  return [...sidecars.values()];
}

function rankKey({ group, rank }: { readonly group: string; readonly rank: number }): string {
  return `${group}\u0000${rank}`;
}

export function startFleet(options: StartFleetOptions): StartedFleet {
  const { catalog, ledger, liveness, groupHealth, rateLimits, logger, random, metrics } = options;
  const { instanceId, host, availabilityZone, peerPort } = options.settings();
  const self = { instanceId, host, role: InstanceRole.Entry, availabilityZone };
  /** Instance ids of the backend servers that are a rank. */
  const serversByRank = new Map<string, string[]>();
  let isWoken = false;

  catalog.onChange(() => {
    serversByRank.clear();
    for (const [serverId, { groupRank }] of catalog.servers().servers) {
      if (groupRank === undefined) continue;
      const key = rankKey(groupRank);
      serversByRank.set(key, [...(serversByRank.get(key) ?? []), serverId]);
    }
  });

  function takeLoads(loads: readonly RankLoad[]): void {
    for (const load of loads) {
      groupHealth.recordReport(load, load.ageMilliseconds);
      for (const serverId of serversByRank.get(rankKey(load)) ?? []) {
        ledger.recordReport(serverId, load, load.ageMilliseconds);
        liveness.recordContact(serverId, load.ageMilliseconds);
      }
    }
  }

  function wake(): void {
    if (isWoken) return;
    isWoken = true;
    setTimeout(() => {
      isWoken = false;
      fleet.tick();
    }, WAKE_MILLISECONDS);
  }

  function tick(): void {
    setTimeout(tick, fleet.tick());
  }

  const link = createDatagramLink({
    self,
    port: peerPort,
    logger,
    now: monotonicClock,
    onMessage: (from, message) => fleet.receive(from, message),
  });
  const fleet: EntryFleet = createEntryFleet({
    self,
    logger,
    seedHosts: () => options.settings().seedHosts,
    sidecars: () => sidecarsOf(catalog),
    fleetSize: () => options.fleetSize(fleet.entryIds().length),
    profiles: () => profilesOf(catalog),
    freshness: () => options.knowledge().freshness(),
    onFreshness: (from, freshness) => options.knowledge().onPeerState(from, freshness),
    rateLimits: () => rateLimits.statements(),
    onRateLimits: (statements) => rateLimits.onPeerStatements(statements),
    onLoads: takeLoads,
    send: (to, message) => link.send(to, message),
    requestTick: wake,
    now: monotonicClock,
    random,
  });
  metrics.gauge(
    'lapisbridge_fleet_entries',
    'Entries known, this one included.',
    () => fleet.entryIds().length,
  );
  metrics.gauge('lapisbridge_fleet_delegate', '1 while this entry relays for its zone.', () =>
    fleet.isDelegate() ? 1 : 0,
  );
  metrics.datagrams(() => link.sent());

  return {
    fleet,
    async start() {
      await link.start();
      tick();
    },
  };
}
