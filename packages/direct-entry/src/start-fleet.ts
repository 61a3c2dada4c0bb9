/**
 * Connects an entry's fleet membership with its catalog, its records of backend servers and its
 * UDP socket.
 */
import type { Catalog } from '@lapisbridge/catalog';
import {
  decodeCrashStatements,
  encodeCrashStatements,
  StatementScope,
} from '@lapisbridge/crash-attribution';
import type { CrashLedger } from '@lapisbridge/crash-attribution';
import { createDatagramLink, createEntryFleet, InstanceRole } from '@lapisbridge/fleet';
import type { EntryFleet, RankLoad, SidecarAddress } from '@lapisbridge/fleet';
import type {
  GroupHealth,
  ServerLoadTracker,
  ServerLiveness,
  ServerMemory,
  ServerRateLimits,
} from '@lapisbridge/forwarding';
import type { GroupProfile } from '@lapisbridge/group-leader';
import { monotonicClock } from '@lapisbridge/kernel';
import type { Random } from '@lapisbridge/kernel';
import type { AccountShares } from '@lapisbridge/load-shedding';
import type { Logger } from '@lapisbridge/logger';
import type { Metrics } from '@lapisbridge/metrics';
import type { ProcessSettings } from '@lapisbridge/process-life';

import type { CatalogSync } from './catalog-sync.js';

/** Parts of the entry that exchange state with the fleet. */
export interface StartFleetOptions {
  settings(): ProcessSettings;
  readonly catalog: Catalog;
  readonly ledger: ServerLoadTracker;
  readonly liveness: ServerLiveness;
  readonly serverMemory: ServerMemory;
  readonly groupHealth: GroupHealth;
  readonly rateLimits: ServerRateLimits;
  readonly crashLedger: CrashLedger;
  readonly accountShares: AccountShares;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly random: Random;
  /** Estimates the number of entries from the number of known ones. */
  fleetSize(known: number): number;
  /** A function, since the catalog sync and the fleet depend on each other. */
  catalogSync(): CatalogSync;
}

/** An entry's fleet membership; it sends and receives nothing until `start`. */
export interface StartedFleet {
  readonly fleet: EntryFleet;
  start(): Promise<void>;
}

/** Delay before an early tick, so that changes that arrive together are sent together. */
const TICK_DELAY_MILLISECONDS = 5;

/** Profiles of the services whose models have experts, by service name. */
function profilesOf(catalog: Catalog): Record<string, GroupProfile> {
  const known: Record<string, GroupProfile> = {};
  for (const { name, engine } of catalog.operatorState().configuration?.services.values() ?? []) {
    if (engine === undefined || engine.sets === 0) continue;
    const { sets, experts, placesPerRank, newPerRank } = engine;
    known[name] = { sets, experts, placesPerRank, newPerRank };
  }
  return known;
}

/** Addresses of the sidecars: only members of lock-step groups have one. */
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

/** Creates the fleet membership of this entry and its metrics. */
export function startFleet(options: StartFleetOptions): StartedFleet {
  const { catalog, ledger, liveness, serverMemory, groupHealth, rateLimits, crashLedger } = options;
  const { accountShares } = options;
  const { logger, random, metrics } = options;
  const { instanceId, host, availabilityZone, peerPort } = options.settings();
  const self = { instanceId, host, role: InstanceRole.Entry, availabilityZone };
  /** Instance ids of the backend servers of each rank, by `rankKey`. */
  const serversByRank = new Map<string, string[]>();
  let isTickScheduled = false;

  catalog.onChange(() => {
    serversByRank.clear();
    for (const [serverId, { groupRank }] of catalog.servers().servers) {
      if (groupRank === undefined) continue;
      const key = rankKey(groupRank);
      serversByRank.set(key, [...(serversByRank.get(key) ?? []), serverId]);
    }
  });

  function applyLoads(loads: readonly RankLoad[]): void {
    for (const load of loads) {
      groupHealth.recordReport(load, load.ageMilliseconds);
      for (const serverId of serversByRank.get(rankKey(load)) ?? []) {
        ledger.recordReport(serverId, load, load.ageMilliseconds);
        liveness.recordContact(serverId, load.ageMilliseconds);
        if (load.memoryTokens !== undefined) {
          serverMemory.recordReport(serverId, load.memoryTokens);
        }
      }
    }
  }

  function scheduleTick(): void {
    if (isTickScheduled) return;
    isTickScheduled = true;
    setTimeout(() => {
      isTickScheduled = false;
      fleet.tick();
    }, TICK_DELAY_MILLISECONDS);
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
    freshness: () => options.catalogSync().freshness(),
    onFreshness: (from, freshness) => options.catalogSync().onPeerFreshness(from, freshness),
    rateLimits: () => rateLimits.statements(),
    onRateLimits: (statements) => rateLimits.onPeerStatements(statements),
    crashes: () => encodeCrashStatements(crashLedger.statements(StatementScope.Recent)),
    onCrashes: (from, crashes) =>
      crashLedger.merge(decodeCrashStatements(crashes), from.instanceId),
    accountDemand: accountShares.listDemand,
    onAccountDemand: accountShares.recordPeerDemand,
    onLoads: applyLoads,
    send: (to, message) => link.send(to, message),
    requestTick: scheduleTick,
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
