/**
 * Measures the requests of each client account that this entry receives, by service, as
 * exponentially decaying averages. The number of accounts is bounded: beyond it, those with the
 * least demand are counted together.
 */
import type { DemandEstimate } from './combine-demand.js';

export interface DemandMeter {
  recordRequest(service: string, account: string): void;
  requestsPerSecond(service: string, account: string): number;
  services(): Iterable<string>;
  /** Accounts that are measured one by one, over all services. */
  accountCount(): number;
  /** Demand for a service; accounts without recent requests are dropped. */
  measure(service: string): DemandEstimate;
}

/** Age at which a request counts for about a third (1/e). */
export const DECAY_MILLISECONDS = 2000;
/** Accounts over all services that are measured one by one: some 0.5 MB. */
const MAXIMUM_ACCOUNTS = 4096;
/** Share of the accounts that are merged when there are too many. */
const MERGED_SHARE = 1 / 8;
/** A decayed count below this is dropped. */
const MINIMUM_COUNT = 0.01;

interface DecayedCount {
  /** Number of requests, decayed until `at`. */
  count: number;
  at: number;
}

interface ServiceDemand {
  readonly counts: Map<string, DecayedCount>;
  /** Requests of accounts that were merged. */
  readonly merged: DecayedCount;
  mergedAccounts: number;
}

export function createDemandMeter(now: () => number): DemandMeter {
  const services = new Map<string, ServiceDemand>();
  let accounts = 0;

  function decay(counted: DecayedCount): number {
    return counted.count * Math.exp((counted.at - now()) / DECAY_MILLISECONDS);
  }

  function add(counted: DecayedCount, requests: number): void {
    counted.count = decay(counted) + requests;
    counted.at = now();
  }

  function toRate(count: number): number {
    return (count * 1000) / DECAY_MILLISECONDS;
  }

  function removeIdle(demand: ServiceDemand): void {
    for (const [account, counted] of demand.counts) {
      if (decay(counted) >= MINIMUM_COUNT) continue;
      demand.counts.delete(account);
      accounts -= 1;
    }
    if (decay(demand.merged) < MINIMUM_COUNT) demand.mergedAccounts = 0;
  }

  function mergeSmallest(): void {
    const all: { demand: ServiceDemand; account: string; count: number }[] = [];
    for (const demand of services.values()) {
      removeIdle(demand);
      for (const [account, counted] of demand.counts) {
        all.push({ demand, account, count: decay(counted) });
      }
    }
    if (all.length < MAXIMUM_ACCOUNTS) return;
    all.sort((one, other) => one.count - other.count);
    for (const { demand, account, count } of all.slice(0, all.length * MERGED_SHARE)) {
      demand.counts.delete(account);
      accounts -= 1;
      add(demand.merged, count);
      demand.mergedAccounts += 1;
    }
  }

  function demandFor(service: string): ServiceDemand {
    const known = services.get(service);
    if (known !== undefined) return known;
    const demand = { counts: new Map(), merged: { count: 0, at: now() }, mergedAccounts: 0 };
    services.set(service, demand);
    return demand;
  }

  return {
    recordRequest(service, account) {
      const demand = demandFor(service);
      const counted = demand.counts.get(account);
      if (counted !== undefined) {
        add(counted, 1);
        return;
      }
      if (accounts >= MAXIMUM_ACCOUNTS) mergeSmallest();
      demand.counts.set(account, { count: 1, at: now() });
      accounts += 1;
    },
    requestsPerSecond(service, account) {
      const counted = services.get(service)?.counts.get(account);
      return counted === undefined ? 0 : toRate(decay(counted));
    },
    services: () => services.keys(),
    accountCount: () => accounts,
    measure(service) {
      const requestsPerSecond = new Map<string, number>();
      const demand = services.get(service);
      if (demand === undefined) {
        return { requestsPerSecond, otherRequestsPerSecond: 0, otherAccounts: 0 };
      }
      for (const [account, counted] of demand.counts) {
        const count = decay(counted);
        if (count >= MINIMUM_COUNT) requestsPerSecond.set(account, toRate(count));
      }
      if (requestsPerSecond.size < demand.counts.size) removeIdle(demand);
      const { mergedAccounts } = demand;
      const otherRequestsPerSecond = mergedAccounts > 0 ? toRate(decay(demand.merged)) : 0;
      return { requestsPerSecond, otherRequestsPerSecond, otherAccounts: mergedAccounts };
    },
  };
}
