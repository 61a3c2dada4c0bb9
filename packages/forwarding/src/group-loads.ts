/**
 * Sums the load of each lock-step group: streams at its servers by their last reports, with what
 * this entry and, in proportion, the others have sent since.
 */
import type { BackendServer, Catalog } from '@lapisbridge/catalog';

import type { GroupHealth } from './group-health.js';
import type { ServerLoadTracker } from './server-load-tracker.js';
import { othersPerRequest, planTrafficShare } from './traffic-share.js';

export interface GroupLoad {
  readonly group: string;
  readonly service: string;
  /** Streams at the group's servers; undefined if fewer than half have reported recently. */
  readonly streams: number | undefined;
  /** Streams that its servers run at once. */
  readonly slots: number;
  readonly isBroken: boolean;
}

export interface GroupLoads {
  find(group: string): GroupLoad | undefined;
  /** Groups of the service; empty if its servers belong to none. */
  listOfService(service: string): readonly GroupLoad[];
}

export interface GroupLoadsOptions {
  readonly catalog: Catalog;
  readonly ledger: ServerLoadTracker;
  readonly groupHealth: GroupHealth;
  entries(): number;
  now(): number;
}

/** Shorter than the interval between reports. */
const CACHE_MILLISECONDS = 25;
const MINIMUM_REPORTING_SHARE = 0.5;
/** Standard deviations of this entry's own streams by which they may grow by chance. */
const NOISE_DEVIATIONS = 2;

interface GroupSum {
  readonly service: string;
  servers: number;
  reporting: number;
  slots: number;
  reported: number;
  /** This entry's streams, and those of them that the reports include. */
  own: number;
  ownReported: number;
  isBroken: boolean;
}

/**
 * Streams that other entries have sent since the reports. They see the same load and the same
 * callers' demand, but a change by less than chance says nothing about them.
 */
function estimateUnseen(sum: GroupSum, entries: number): number {
  const growth = sum.own - sum.ownReported;
  const excess = growth - NOISE_DEVIATIONS * Math.sqrt(Math.max(1, sum.own));
  if (excess <= 0) return 0;
  const share = planTrafficShare({
    reportedRequests: sum.reported,
    ownRequests: sum.ownReported,
    entries,
  });
  return excess * Math.min(othersPerRequest(share), Math.max(0, entries - 1));
}

export function createGroupLoads(options: GroupLoadsOptions): GroupLoads {
  const { catalog, ledger, groupHealth, now } = options;
  let loads = new Map<string, GroupLoad>();
  let computedAt = -Infinity;

  function addServer(sums: Map<string, GroupSum>, server: BackendServer): void {
    const { groupRank, instanceId, service } = server;
    if (groupRank === undefined) return;
    let sum = sums.get(groupRank.group);
    if (sum === undefined) {
      sum = {
        service,
        servers: 0,
        reporting: 0,
        slots: 0,
        reported: 0,
        own: 0,
        ownReported: 0,
        isBroken: groupHealth.brokenForMilliseconds(server) !== undefined,
      };
      sums.set(groupRank.group, sum);
    }
    sum.servers += 1;
    sum.slots += server.slots;
    const reported = ledger.reportedRequests(instanceId);
    if (reported === undefined) return;
    sum.reporting += 1;
    sum.reported += reported.all;
    sum.own += ledger.inFlight(instanceId);
    sum.ownReported += reported.own;
  }

  function toLoad(group: string, sum: GroupSum): GroupLoad {
    const { service, slots, isBroken } = sum;
    const isKnown = sum.reporting >= sum.servers * MINIMUM_REPORTING_SHARE && sum.reporting > 0;
    const growth = sum.own - sum.ownReported;
    const seen = sum.reported + growth + estimateUnseen(sum, options.entries());
    const streams = isKnown ? Math.max(0, seen) * (sum.servers / sum.reporting) : undefined;
    return { group, service, streams, slots, isBroken };
  }

  function current(): ReadonlyMap<string, GroupLoad> {
    if (now() - computedAt < CACHE_MILLISECONDS) return loads;
    computedAt = now();
    const sums = new Map<string, GroupSum>();
    for (const server of catalog.servers().servers.values()) addServer(sums, server);
    loads = new Map();
    for (const [group, sum] of sums) loads.set(group, toLoad(group, sum));
    return loads;
  }

  return {
    find: (group) => current().get(group),
    listOfService(service) {
      const found: GroupLoad[] = [];
      for (const load of current().values()) if (load.service === service) found.push(load);
      return found;
    },
  };
}
