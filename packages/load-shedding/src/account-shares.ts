/**
 * Shares of client accounts: while a service is short of capacity, its accounts share it by weight,
 * and unused shares are lent. Each entry decides from its own demand and from what others state in
 * their digests; statements expire, so an entry that is cut off falls back to its own demand.
 */
import { combineDemand, sumDemand, truncateDemand } from './combine-demand.js';
import type { DemandEstimate, DemandStatement } from './combine-demand.js';
import { createDemandMeter, DECAY_MILLISECONDS } from './demand-meter.js';
import { orderDemand, planAccountShare, planFairRate } from './plan-account-share.js';
import type { OrderedDemand, WeightedDemand } from './plan-account-share.js';

/** Whose demand a statement covers. */
export enum DemandScope {
  Entry = 'entry',
  /** All entries of the sender's availability zone. */
  Zone = 'zone',
  /** All entries, the receiver included. */
  Fleet = 'fleet',
}

/** Requests per second that one account sends to a service. */
export interface AccountDemand {
  readonly service: string;
  readonly account: string;
  readonly requestsPerSecond: number;
}

/** Where a statement comes from. */
export interface DemandSource {
  readonly entry: string;
  readonly availabilityZone: string;
  readonly scope: DemandScope;
}

/** An admission share below 1, with what it was computed from. */
export interface AccountLimit {
  readonly service: string;
  readonly account: string;
  readonly admittedShare: number;
  readonly admissionShare: number;
  readonly requestsPerSecond: number;
  /** Requests per second that an account of weight 1 may send. */
  readonly fairRequestsPerSecond: number;
  /** Other entries whose statements were used. */
  readonly sources: number;
  /** Age of the oldest of these statements. */
  readonly oldestMilliseconds: number;
}

export interface AccountShares {
  recordRequest(service: string, account: string): void;
  /** Replaces what another entry has stated. */
  recordPeerDemand(source: DemandSource, statements: readonly DemandStatement[]): void;
  /**
   * Statements for other entries about services that are short of capacity, with at most `maximum`
   * accounts in all, the largest; empty if no service is short.
   */
  listDemand(scope: DemandScope, maximum: number): readonly DemandStatement[];
  /**
   * Probability with which a request of the account is admitted when the service can take
   * `admittedShare` (0 to 1) of all its requests.
   */
  admissionShare(service: string, account: string, admittedShare: number): number;
  /** This entry's own demand, the largest accounts first, at most `maximum`. */
  largestAccounts(maximum: number): readonly AccountDemand[];
  /** Number of admission shares below 1 since the process started. */
  limitedCount(): number;
}

export interface AccountSharesOptions {
  readonly availabilityZone: string;
  weightOf(account: string): number;
  /** Called at most once a second. */
  onLimited(limit: AccountLimit): void;
  now(): number;
}

/** Several digests may be lost before an entry's statement expires. */
const STATEMENT_LIFETIME_MILLISECONDS = 3000;
/** Demand is stated for this long after the service was last seen short. */
const CONTENTION_LIFETIME_MILLISECONDS = 3000;
const MINIMUM_ESTIMATE_LIFETIME_MILLISECONDS = 200;
/** Bounds the share of the processor that estimates take, however many accounts there are. */
const ESTIMATE_LIFETIME_MILLISECONDS_PER_ACCOUNT = 0.25;
/**
 * Requests find their account's demand higher than it is on average, by this much, since each
 * counts itself in full.
 */
const OWN_REQUESTS_PER_SECOND = (0.5 * 1000) / DECAY_MILLISECONDS;
const LIMIT_REPORT_INTERVAL_MILLISECONDS = 1000;
/** Statements with more than this are malformed. */
const MAXIMUM_REQUESTS_PER_SECOND = 100_000;
const MAXIMUM_OTHER_ACCOUNTS = 100_000;
const MAXIMUM_LISTED_ACCOUNTS = 256;
/** Entries whose statements are kept. */
const MAXIMUM_PEERS = 1024;

interface PeerDemand {
  readonly source: DemandSource;
  readonly statements: readonly DemandStatement[];
  readonly receivedAt: number;
}

interface PeerEstimate {
  readonly peer: PeerDemand;
  readonly estimate: DemandEstimate;
}

interface ServiceEstimate {
  readonly computedAt: number;
  readonly requestsPerSecond: ReadonlyMap<string, number>;
  /** This entry's part, as of `computedAt`. */
  readonly ownRequestsPerSecond: ReadonlyMap<string, number>;
  readonly demand: OrderedDemand;
  readonly sources: number;
  readonly oldestMilliseconds: number;
}

/** Demand with the largest accounts, for digests. */
interface DemandSummary {
  readonly computedAt: number;
  readonly maximum: number;
  /** By service. */
  readonly estimates: ReadonlyMap<string, DemandEstimate>;
}

function sortByDemand(demand: readonly AccountDemand[]): AccountDemand[] {
  return demand.toSorted((one, other) => other.requestsPerSecond - one.requestsPerSecond);
}

function isRate(rate: number): boolean {
  return rate >= 0 && rate <= MAXIMUM_REQUESTS_PER_SECOND;
}

function isWellFormed(statement: DemandStatement): boolean {
  const { requestsPerSecond, otherRequestsPerSecond, otherAccounts } = statement;
  if (!(statement.contentionAgeMilliseconds >= 0) || !isRate(otherRequestsPerSecond)) return false;
  if (!Number.isInteger(otherAccounts) || otherAccounts < 0) return false;
  if (otherAccounts > MAXIMUM_OTHER_ACCOUNTS) return false;
  if (requestsPerSecond.size > MAXIMUM_LISTED_ACCOUNTS) return false;
  for (const rate of requestsPerSecond.values()) if (!isRate(rate)) return false;
  return true;
}

/** Both delegates of a zone state the same demand; one that has just started knows only a part. */
function chooseLargest(
  candidates: Iterable<PeerEstimate>,
  keyOf: (source: DemandSource) => string,
): PeerEstimate[] {
  const chosen = new Map<string, PeerEstimate>();
  for (const candidate of candidates) {
    const key = keyOf(candidate.peer.source);
    const known = chosen.get(key);
    if (known === undefined || sumDemand(known.estimate) < sumDemand(candidate.estimate)) {
      chosen.set(key, candidate);
    }
  }
  return [...chosen.values()];
}

function combineWithPeers(own: DemandEstimate, used: readonly PeerEstimate[]): DemandEstimate {
  return combineDemand([own, ...used.map(({ estimate }) => estimate)]);
}

/** A follower in a large fleet receives the sum over all entries, its own demand included. */
function combineWithFleet(own: DemandEstimate, fleet: DemandEstimate): DemandEstimate {
  const combined = combineDemand([fleet], own.requestsPerSecond.keys());
  const requestsPerSecond = new Map(combined.requestsPerSecond);
  for (const [account, rate] of own.requestsPerSecond) {
    requestsPerSecond.set(account, Math.max(rate, requestsPerSecond.get(account) ?? 0));
  }
  return { ...combined, requestsPerSecond };
}

export function createAccountShares(options: AccountSharesOptions): AccountShares {
  const { availabilityZone, now } = options;
  const meter = createDemandMeter(now);
  const peers = new Map<string, PeerDemand>();
  const estimates = new Map<string, ServiceEstimate>();
  const summaries = new Map<DemandScope, DemandSummary>();
  const contendedAt = new Map<string, number>();
  let limited = 0;
  let limitReportedAt = -Infinity;

  function noteContention(service: string, at: number): void {
    if (at > (contendedAt.get(service) ?? -Infinity)) contendedAt.set(service, at);
  }

  function listContended(): string[] {
    const services: string[] = [];
    for (const [service, at] of contendedAt) {
      if (now() - at <= CONTENTION_LIFETIME_MILLISECONDS) services.push(service);
      else contendedAt.delete(service);
    }
    return services;
  }

  function removeExpired(): void {
    for (const [entry, { receivedAt }] of peers) {
      if (now() - receivedAt > STATEMENT_LIFETIME_MILLISECONDS) peers.delete(entry);
    }
  }

  function peersOf(service: string, scope: DemandScope): PeerEstimate[] {
    const found: PeerEstimate[] = [];
    for (const peer of peers.values()) {
      if (peer.source.scope !== scope) continue;
      for (const estimate of peer.statements) {
        if (estimate.service === service) found.push({ peer, estimate });
      }
    }
    return found;
  }

  /** Statements that cover disjoint sets of other entries. */
  function disjointPeers(service: string, scope: DemandScope): PeerEstimate[] {
    const zones = chooseLargest(
      peersOf(service, DemandScope.Zone),
      (source) => source.availabilityZone,
    ).filter(({ peer }) => peer.source.availabilityZone !== availabilityZone);
    const covered = new Set(zones.map(({ peer }) => peer.source.availabilityZone));
    const entries = peersOf(service, DemandScope.Entry);
    switch (scope) {
      case DemandScope.Entry:
        return [];
      case DemandScope.Zone:
        return entries.filter(({ peer }) => peer.source.availabilityZone === availabilityZone);
      case DemandScope.Fleet:
        return [
          ...entries.filter(({ peer }) => !covered.has(peer.source.availabilityZone)),
          ...zones,
        ];
      default: {
        const unreachable: never = scope;
        throw new Error(String(unreachable));
      }
    }
  }

  function computeEstimate(service: string): ServiceEstimate {
    removeExpired();
    const direct = disjointPeers(service, DemandScope.Fleet);
    let used: readonly PeerEstimate[] = direct;
    const own = meter.measure(service);
    let estimate = combineWithPeers(own, direct);
    const [fleet] = chooseLargest(peersOf(service, DemandScope.Fleet), () => DemandScope.Fleet);
    if (fleet !== undefined && sumDemand(fleet.estimate) > sumDemand(estimate)) {
      used = [fleet];
      estimate = combineWithFleet(own, fleet.estimate);
    }
    const demands: WeightedDemand[] = [];
    for (const [account, requestsPerSecond] of estimate.requestsPerSecond) {
      demands.push({ requestsPerSecond, weight: options.weightOf(account), accounts: 1 });
    }
    const { otherRequestsPerSecond, otherAccounts } = estimate;
    if (otherAccounts > 0) {
      demands.push({
        requestsPerSecond: otherRequestsPerSecond,
        weight: 1,
        accounts: otherAccounts,
      });
    }
    const oldestAt = Math.min(now(), ...used.map(({ peer }) => peer.receivedAt));
    return {
      computedAt: now(),
      requestsPerSecond: estimate.requestsPerSecond,
      ownRequestsPerSecond: own.requestsPerSecond,
      demand: orderDemand(demands),
      sources: used.length,
      oldestMilliseconds: now() - oldestAt,
    };
  }

  function estimateLifetimeMilliseconds(): number {
    return Math.max(
      MINIMUM_ESTIMATE_LIFETIME_MILLISECONDS,
      meter.accountCount() * ESTIMATE_LIFETIME_MILLISECONDS_PER_ACCOUNT,
    );
  }

  function estimateOf(service: string): ServiceEstimate {
    const known = estimates.get(service);
    if (known !== undefined && now() - known.computedAt < estimateLifetimeMilliseconds())
      return known;
    const estimate = computeEstimate(service);
    estimates.set(service, estimate);
    return estimate;
  }

  function summarize(
    scope: DemandScope,
    maximum: number,
    services: readonly string[],
  ): DemandSummary {
    removeExpired();
    const combined = new Map<string, DemandEstimate>();
    const largest: AccountDemand[] = [];
    for (const service of services) {
      const estimate = combineWithPeers(meter.measure(service), disjointPeers(service, scope));
      combined.set(service, estimate);
      for (const [account, requestsPerSecond] of estimate.requestsPerSecond) {
        largest.push({ service, account, requestsPerSecond });
      }
    }
    const listed = new Map<string, Set<string>>();
    for (const { service, account } of sortByDemand(largest).slice(0, maximum)) {
      listed.set(service, (listed.get(service) ?? new Set()).add(account));
    }
    const truncated = new Map<string, DemandEstimate>();
    for (const [service, estimate] of combined) {
      const accounts = listed.get(service);
      truncated.set(
        service,
        truncateDemand(estimate, (account) => accounts?.has(account) === true),
      );
    }
    return { computedAt: now(), maximum, estimates: truncated };
  }

  /** A delegate states the same demand in many digests. */
  function summaryOf(
    scope: DemandScope,
    maximum: number,
    services: readonly string[],
  ): DemandSummary {
    const known = summaries.get(scope);
    const isCurrent =
      known !== undefined &&
      known.maximum === maximum &&
      now() - known.computedAt < estimateLifetimeMilliseconds();
    if (isCurrent) return known;
    const summary = summarize(scope, maximum, services);
    summaries.set(scope, summary);
    return summary;
  }

  /** Demand of an account as one of its requests sees it. */
  function demandAtRequest(
    { requestsPerSecond, ownRequestsPerSecond }: ServiceEstimate,
    service: string,
    account: string,
  ): number {
    const estimated = requestsPerSecond.get(account) ?? 0;
    const ownSince =
      meter.requestsPerSecond(service, account) - (ownRequestsPerSecond.get(account) ?? 0);
    return Math.max(OWN_REQUESTS_PER_SECOND, estimated + ownSince - OWN_REQUESTS_PER_SECOND);
  }

  function reportLimit(limit: AccountLimit): void {
    limited += 1;
    if (now() - limitReportedAt < LIMIT_REPORT_INTERVAL_MILLISECONDS) return;
    limitReportedAt = now();
    options.onLimited(limit);
  }

  function listOwn(): AccountDemand[] {
    const own: AccountDemand[] = [];
    for (const service of meter.services()) {
      for (const [account, requestsPerSecond] of meter.measure(service).requestsPerSecond) {
        own.push({ service, account, requestsPerSecond });
      }
    }
    return own;
  }

  return {
    recordRequest(service, account) {
      meter.recordRequest(service, account);
    },
    recordPeerDemand(source, statements) {
      const wellFormed = statements.filter(isWellFormed);
      if (wellFormed.length === 0) {
        peers.delete(source.entry);
        return;
      }
      if (!peers.has(source.entry) && peers.size >= MAXIMUM_PEERS) {
        removeExpired();
        if (peers.size >= MAXIMUM_PEERS) return;
      }
      peers.set(source.entry, { source, statements: wellFormed, receivedAt: now() });
      for (const { service, contentionAgeMilliseconds } of wellFormed) {
        noteContention(service, now() - contentionAgeMilliseconds);
      }
    },
    listDemand(scope, maximum) {
      const contended = listContended();
      if (contended.length === 0) return [];
      const summary = summaryOf(scope, maximum, contended);
      const statements: DemandStatement[] = [];
      for (const service of contended) {
        const estimate = summary.estimates.get(service);
        if (estimate === undefined) continue;
        const contentionAgeMilliseconds = now() - (contendedAt.get(service) ?? now());
        statements.push({ service, contentionAgeMilliseconds, ...estimate });
      }
      return statements;
    },
    admissionShare(service, account, admittedShare) {
      if (!(admittedShare < 1)) return 1;
      noteContention(service, now());
      const estimate = estimateOf(service);
      const requestsPerSecond = demandAtRequest(estimate, service, account);
      const fairRequestsPerSecond = planFairRate(estimate.demand, admittedShare);
      const share = planAccountShare(
        { requestsPerSecond, weight: options.weightOf(account) },
        fairRequestsPerSecond,
      );
      if (share < 1) {
        reportLimit({
          service,
          account,
          admittedShare,
          admissionShare: share,
          requestsPerSecond,
          fairRequestsPerSecond,
          sources: estimate.sources,
          oldestMilliseconds: estimate.oldestMilliseconds,
        });
      }
      return share;
    },
    largestAccounts: (maximum) => sortByDemand(listOwn()).slice(0, maximum),
    limitedCount: () => limited,
  };
}
