/**
 * The gossip state machine of an entry. It discovers other entries, exchanges digests with the
 * delegates of its availability zone, and, while it is a delegate itself, relays loads, counts and
 * freshness. It has no sockets or timers: the caller supplies `send` and calls `tick`.
 */
import type { GroupProfile } from '@lapisbridge/group-leader';
import type { JsonObject } from '@lapisbridge/json-call';
import { DemandScope } from '@lapisbridge/load-shedding';
import type { DemandSource, DemandStatement } from '@lapisbridge/load-shedding';
import type { Logger } from '@lapisbridge/logger';

import { MAXIMUM_ACCOUNTS_FOR_FOLLOWERS, MAXIMUM_STATED_ACCOUNTS } from './encode-demand.js';
import type { StatedDemand } from './encode-demand.js';
import { createPublishedRosters, EVIDENCE_LIFETIME_MILLISECONDS } from './published-rosters.js';
import { createGrowthSum } from './growth-sum.js';
import { createLeaderList } from './leader-list.js';
import { createLoadTable } from './load-table.js';
import { createMemberList } from './member-list.js';
import { InstanceRole, MessageKind, RosterScope } from './message.js';
import type { FleetMessage, InstanceName, RelayedRateLimit } from './message.js';
import { packLoads, unpackLoads } from './pack-loads.js';
import type { RankLoad } from './pack-loads.js';
import type { ReadingRole } from './plan-delegates.js';
import { planDuties } from './plan-duties.js';
import type { Duties } from './plan-duties.js';
import { createReceivedRosters } from './roster.js';
import type { Roster } from './roster.js';

export interface SidecarAddress {
  readonly host: string;
  readonly availabilityZone: string;
}

export interface EntryFleetOptions {
  readonly self: InstanceName;
  readonly logger: Logger;
  seedHosts(): readonly string[];
  /** Hosts of backend servers that have a sidecar. */
  sidecars(): readonly SidecarAddress[];
  /** Assumed number of entries in the fleet; at least the number of known ones. */
  fleetSize(): number;
  /** Expert placement limits of the engines, by service. */
  profiles(): Readonly<Record<string, GroupProfile>>;
  /** How fresh this entry's copies of the store's tables are. */
  freshness(): JsonObject;
  onFreshness(from: InstanceName, freshness: JsonObject): void;
  /** What this entry knows of backend servers' rate limits. */
  rateLimits(): readonly RelayedRateLimit[];
  onRateLimits(limits: readonly RelayedRateLimit[]): void;
  /** What this entry knows of crashed servers. */
  crashes(): JsonObject;
  onCrashes(from: InstanceName, crashes: JsonObject): void;
  /** Demand of client accounts, the largest first; empty while no service is short. */
  accountDemand(scope: DemandScope, maximumAccounts: number): readonly DemandStatement[];
  onAccountDemand(source: DemandSource, statements: readonly DemandStatement[]): void;
  /** Called with loads newer than those passed before. */
  onLoads(loads: readonly RankLoad[]): void;
  send(host: string, message: FleetMessage): void;
  /** Requests a call of `tick` before the next regular one. */
  requestTick(): void;
  now(): number;
  /** Uniform in [0, 1). */
  random(): number;
}

export interface EntryFleet {
  receive(from: InstanceName, message: FleetMessage): void;
  /** Sends due messages. Returns the milliseconds until the next regular call. */
  tick(): number;
  /** Sends digests ahead of schedule after a change, if this entry is a delegate. */
  expediteDigests(): void;
  /** Tells all known entries of crashes at once, whatever the digests' schedule. */
  announceCrashes(crashes: JsonObject): void;
  /** Whether the fleet is large enough for delegates to relay messages. */
  isDelegating(): boolean;
  /** Whether this entry is a delegate; in a small fleet every entry is. */
  isDelegate(): boolean;
  /** How this entry keeps its copies of the store's tables up to date. */
  readingRole(): ReadingRole;
  /** Instance ids of all known entries and this one; the same array until the list changes. */
  entryIds(): readonly string[];
  /** Hosts of entries with recent evidence of life. */
  liveHosts(): readonly string[];
}

/** Tick interval of a delegate. */
const TICK_INTERVAL_MILLISECONDS = 100;
/** Digest intervals of a zone's primary, and of any other entry. */
const PRIMARY_DIGEST_INTERVAL_MILLISECONDS = 250;
const DIGEST_INTERVAL_MILLISECONDS = 500;
const DIGEST_INTERVAL_MILLISECONDS_PER_RANK = 3;
/** Changes in quick succession share one digest. */
const MINIMUM_DIGEST_INTERVAL_MILLISECONDS = 30;
const ANNOUNCEMENT_INTERVAL_MILLISECONDS = 1000;
const SUMMARY_INTERVAL_MILLISECONDS = 300;
/** Interval at which suspected entries, and one entry that may know others, are contacted. */
const PROBE_INTERVAL_MILLISECONDS = 1000;
/** The same during startup, when repeated requests to the seeds find entries fastest. */
const STARTUP_PROBE_INTERVAL_MILLISECONDS = 150;
const STARTUP_MILLISECONDS = 1500;
/** Any entry answers a sidecar that its zone's delegates have not contacted for this long. */
const ADOPT_AFTER_MILLISECONDS = 1200;
/**
 * An entry announces itself as a delegate only this long after its start. When a whole fleet starts
 * at once, entries know few others at first, too many consider themselves delegates, and sidecars
 * would report to all of them.
 */
const ANNOUNCE_AFTER_MILLISECONDS = 500;
/** Minimum time between two requests for the same entry's roster. */
const ROSTER_REQUEST_INTERVAL_MILLISECONDS = 200;
/** An entry that expected an answer within this time is sent digests. */
const DEPENDENT_LIFETIME_MILLISECONDS = 2000;

export function createEntryFleet(options: EntryFleetOptions): EntryFleet {
  const { self, logger, now, send } = options;
  const members = createMemberList(self.instanceId, now);
  const receivedRosters = createReceivedRosters(members);
  const published = createPublishedRosters(self, members);
  const loadTable = createLoadTable(now);
  const growthSum = createGrowthSum(options.random);
  const leaders = createLeaderList();
  const digestSentAt = new Map<string, number>();
  /** When demand was last stated to each entry; not every digest states it. */
  const demandSentAt = new Map<string, number>();
  /** When each entry that expects digests from this one was last heard. */
  const dependentHeardAt = new Map<string, number>();
  const rosterRequestedAt = new Map<string, number>();
  const summarySentAt = new Map<string, number>();
  const startedAt = now();
  let announcedAt = -Infinity;
  let probedAt = -Infinity;
  /** When digests were last requested ahead of schedule. */
  let expeditedAt = -Infinity;
  let wasPrimary = false;
  let cachedEntryIds: readonly string[] = [self.instanceId];
  let cachedMembers: readonly InstanceName[] | undefined;
  /** Computed once per tick, since planning ranks every known entry. */
  let planned: Duties | undefined;

  function entryIds(): readonly string[] {
    const known = members.known();
    if (known !== cachedMembers) {
      cachedMembers = known;
      cachedEntryIds = [self.instanceId, ...known.map(({ instanceId }) => instanceId)];
    }
    return cachedEntryIds;
  }

  function planNow(): Duties {
    return planDuties({
      self,
      known: members.known(),
      fleetSize: options.fleetSize(),
      isSuspected: (instanceId) => members.isSuspected(instanceId),
    });
  }

  function duties(): Duties {
    planned ??= planNow();
    return planned;
  }

  function rosterFor(scope: RosterScope): Roster {
    if (scope === RosterScope.Zone) return published.zoneRoster();
    return duties().isDelegate ? published.fleetRoster() : published.unconfirmedRoster();
  }

  function sendRoster(host: string, scope: RosterScope): void {
    send(host, { kind: MessageKind.Roster, ...rosterFor(scope) });
  }

  /** Loads for another entry. A primary sends all to its own zone, its zone's to other zones. */
  function loadsFor(to: InstanceName): RankLoad[] {
    const { isDelegating, isPrimary } = duties();
    if (!isDelegating) return [];
    const isOwnZone = to.availabilityZone === self.availabilityZone;
    if (isPrimary) return isOwnZone ? loadTable.all() : loadTable.local();
    // Sidecars of other zones report here only if their zone has no delegate.
    return loadTable.direct((sidecar) => sidecar.availabilityZone !== self.availabilityZone);
  }

  /**
   * A zone's delegates sum its entries' demand for the other zones, and its primary all zones' for
   * the zone's entries; the delegates of one zone receive their entries' demand directly.
   */
  function demandScopeFor(to: InstanceName): DemandScope | undefined {
    const { isDelegating, isDelegate, isPrimary, delegates } = duties();
    if (!isDelegating || !isDelegate) return DemandScope.Entry;
    if (to.availabilityZone !== self.availabilityZone) return DemandScope.Zone;
    const isDelegateToo = delegates.get(to.availabilityZone)?.includes(to.instanceId) === true;
    if (isDelegateToo) return DemandScope.Entry;
    return isPrimary ? DemandScope.Fleet : undefined;
  }

  function demandFor(to: InstanceName): StatedDemand | undefined {
    const scope = demandScopeFor(to);
    if (scope === undefined) return undefined;
    const elapsedMilliseconds = now() - (demandSentAt.get(to.instanceId) ?? -Infinity);
    if (elapsedMilliseconds < DIGEST_INTERVAL_MILLISECONDS - TICK_INTERVAL_MILLISECONDS / 2)
      return undefined;
    const maximumAccounts =
      scope === DemandScope.Fleet ? MAXIMUM_ACCOUNTS_FOR_FOLLOWERS : MAXIMUM_STATED_ACCOUNTS;
    const statements = options.accountDemand(scope, maximumAccounts);
    if (statements.length === 0) return undefined;
    demandSentAt.set(to.instanceId, now());
    return { scope, statements };
  }

  function sendDigest(to: InstanceName, expectsAnswer: boolean): void {
    const { isDelegating, isDelegate } = duties();
    const isOwnZone = to.availabilityZone === self.availabilityZone;
    const { scope, hash } =
      isOwnZone || !isDelegating ? published.fleetRoster() : published.zoneRoster();
    digestSentAt.set(to.instanceId, now());
    send(to.host, {
      kind: MessageKind.Digest,
      expectsAnswer,
      roster: isDelegate ? { scope, hash } : undefined,
      loads: packLoads(loadsFor(to)),
      leaders: leaders.all(),
      freshness: options.freshness(),
      rateLimits: options.rateLimits(),
      crashes: options.crashes(),
      accountDemand: demandFor(to),
    });
  }

  /** Ids of the entries whose digests this one needs, and which therefore must answer. */
  function requiredPeers(): Set<string> {
    const { isDelegating, isDelegate, delegates } = duties();
    const peers = new Set<string>();
    for (const [zone, instanceIds] of delegates) {
      const isOwnZone = zone === self.availabilityZone;
      if (!isOwnZone && isDelegating && !isDelegate) continue;
      for (const instanceId of instanceIds) peers.add(instanceId);
    }
    peers.delete(self.instanceId);
    return peers;
  }

  function activeDependents(): string[] {
    const from = now() - DEPENDENT_LIFETIME_MILLISECONDS;
    const recent: string[] = [];
    for (const [instanceId, at] of dependentHeardAt) if (at >= from) recent.push(instanceId);
    return recent;
  }

  /** Digests to the own zone contain all loads, so the interval grows with their number. */
  function digestIntervalMilliseconds(to: InstanceName): number {
    const { isDelegating, isPrimary } = duties();
    if (!isPrimary || !isDelegating) return DIGEST_INTERVAL_MILLISECONDS;
    if (to.availabilityZone !== self.availabilityZone) return PRIMARY_DIGEST_INTERVAL_MILLISECONDS;
    const intervalMilliseconds = loadTable.size() * DIGEST_INTERVAL_MILLISECONDS_PER_RANK;
    return Math.max(
      PRIMARY_DIGEST_INTERVAL_MILLISECONDS,
      Math.min(DIGEST_INTERVAL_MILLISECONDS, intervalMilliseconds),
    );
  }

  function isDigestDue(to: InstanceName): boolean {
    const sentAt = digestSentAt.get(to.instanceId) ?? -Infinity;
    const elapsedMilliseconds = now() - sentAt;
    if (expeditedAt >= sentAt && elapsedMilliseconds >= MINIMUM_DIGEST_INTERVAL_MILLISECONDS)
      return true;
    const intervalMilliseconds = digestIntervalMilliseconds(to);
    // Timers fire late, never early; without slack each interval would grow by a tick.
    return elapsedMilliseconds >= intervalMilliseconds - TICK_INTERVAL_MILLISECONDS / 2;
  }

  function sendDigests(): void {
    const peers = requiredPeers();
    for (const instanceId of new Set([...peers, ...activeDependents()])) {
      const name = members.find(instanceId);
      if (name === undefined || !isDigestDue(name)) continue;
      const isRequiredPeer = peers.has(instanceId);
      if (isRequiredPeer) members.onContacted(instanceId);
      sendDigest(name, isRequiredPeer);
      // An entry that expects digests from a non-delegate does not know the delegates.
      if (!isRequiredPeer && !duties().isDelegate) sendRoster(name.host, RosterScope.Fleet);
    }
  }

  function announceTo({ host, availabilityZone }: SidecarAddress): void {
    const { isDelegating, isPrimary } = duties();
    const isAdopted = availabilityZone !== self.availabilityZone;
    send(host, {
      kind: MessageKind.Announcement,
      wantsEveryReport: isPrimary || isAdopted || !isDelegating,
      isPrimary: isPrimary || (isAdopted && isDelegating),
      profiles: options.profiles(),
    });
  }

  function announce(): void {
    announcedAt = now();
    const { isDelegating, isDelegate, delegates } = duties();
    if (!isDelegate) return;
    for (const sidecar of options.sidecars()) {
      const { availabilityZone } = sidecar;
      const isOwnZone = availabilityZone === self.availabilityZone;
      if (!isDelegating || isOwnZone || !delegates.has(availabilityZone)) announceTo(sidecar);
    }
  }

  /** Picks a host to ask for unknown entries: a seed during startup, later any known entry. */
  function pickDiscoveryHost(): string | undefined {
    const isStarting = now() - startedAt < STARTUP_MILLISECONDS;
    const hosts = isStarting || members.known().length === 0 ? [...options.seedHosts()] : [];
    if (hosts.length === 0) for (const { host } of members.known()) hosts.push(host);
    return hosts[Math.floor(options.random() * hosts.length)];
  }

  /**
   * Contacts suspected entries, which may have recovered, and removes expired ones. A delegate also
   * asks for entries that it does not know; otherwise parts of a zone that started separately would
   * never find each other.
   */
  function probe(): void {
    probedAt = now();
    const { scope, hash } = published.unconfirmedRoster();
    const discoveryHost = duties().isDelegate ? pickDiscoveryHost() : undefined;
    if (discoveryHost !== undefined && discoveryHost !== self.host) {
      send(discoveryHost, {
        kind: MessageKind.Hello,
        scope,
        knownHash: hash,
        waitedMilliseconds: 0,
      });
    }
    for (const { instanceId, host } of members.known()) {
      if (!members.isSuspected(instanceId)) continue;
      send(host, { kind: MessageKind.Hello, scope, knownHash: undefined, waitedMilliseconds: 0 });
    }
    loadTable.removeExpired();
    for (const { instanceId } of members.removeSilent()) {
      receivedRosters.remove(instanceId);
      digestSentAt.delete(instanceId);
      demandSentAt.delete(instanceId);
      dependentHeardAt.delete(instanceId);
      rosterRequestedAt.delete(instanceId);
      logger.info('entry forgotten', { entry: instanceId });
    }
  }

  function summarize(): void {
    if (!duties().isPrimary) return;
    for (const { group, host } of leaders.all()) {
      const elapsedMilliseconds = now() - (summarySentAt.get(group) ?? -Infinity);
      if (elapsedMilliseconds < SUMMARY_INTERVAL_MILLISECONDS - TICK_INTERVAL_MILLISECONDS / 2)
        continue;
      const ranks = loadTable.ranksOf(group);
      if (ranks.length === 0) continue;
      summarySentAt.set(group, now());
      const growth = growthSum.take(group);
      send(host, { kind: MessageKind.ZoneSummary, group, ranks, growth });
    }
  }

  function expediteDigests(): void {
    if (!duties().isDelegate) return;
    expeditedAt = now();
    options.requestTick();
  }

  function handleLeader(group: string, host: string, fence: number): void {
    if (!leaders.onLeader({ group, host, fence })) return;
    // A new leader cannot act until it knows the addresses of the ranks.
    summarySentAt.delete(group);
    expediteDigests();
  }

  function handleReport(
    from: InstanceName,
    { state, fence, growth }: Extract<FleetMessage, { kind: MessageKind.RankState }>,
  ): void {
    const isGroupStateChanged = loadTable.onReport(from, state);
    if (fence !== undefined) handleLeader(state.group, from.host, fence);
    if (growth !== undefined && state.isOpen) growthSum.add(state.group, growth);
    const { group, rank, epoch, isOpen, running, waiting, memoryTokens } = state;
    const load = { group, rank, epoch, isOpen, running, waiting, memoryTokens };
    options.onLoads([{ ...load, ageMilliseconds: 0 }]);
    // In a small fleet every entry receives the sidecars' reports directly.
    if (isGroupStateChanged && duties().isDelegating) expediteDigests();
  }

  function handleDigest(
    from: InstanceName,
    digest: Extract<FleetMessage, { kind: MessageKind.Digest }>,
  ): void {
    if (digest.expectsAnswer) dependentHeardAt.set(from.instanceId, now());
    const { roster } = digest;
    if (roster !== undefined && !receivedRosters.onHash(from, roster.scope, roster.hash)) {
      const requestedAt = rosterRequestedAt.get(from.instanceId) ?? -Infinity;
      if (now() - requestedAt >= ROSTER_REQUEST_INTERVAL_MILLISECONDS) {
        rosterRequestedAt.set(from.instanceId, now());
        send(from.host, {
          kind: MessageKind.Hello,
          scope: roster.scope,
          knownHash: undefined,
          waitedMilliseconds: 0,
        });
      }
    }
    // A non-delegate relays only loads of sidecars that found no delegate in their own zone.
    const isAdopted = roster === undefined && from.availabilityZone === self.availabilityZone;
    const { newer, isGroupStateChanged } = loadTable.onRelayed(
      unpackLoads(digest.loads),
      isAdopted,
    );
    if (newer.length > 0) options.onLoads(newer);
    if (isGroupStateChanged) expediteDigests();
    for (const { group, host, fence } of digest.leaders) handleLeader(group, host, fence);
    options.onFreshness(from, digest.freshness);
    options.onRateLimits(digest.rateLimits);
    options.onCrashes(from, digest.crashes);
    if (digest.accountDemand === undefined) return;
    const { scope, statements } = digest.accountDemand;
    const { instanceId: entry, availabilityZone } = from;
    options.onAccountDemand({ entry, availabilityZone, scope }, statements);
  }

  function handleHello(
    from: InstanceName,
    { scope, knownHash, waitedMilliseconds }: Extract<FleetMessage, { kind: MessageKind.Hello }>,
  ): void {
    if (from.role === InstanceRole.Sidecar) {
      const isServedByDelegates =
        duties().isDelegating && waitedMilliseconds < ADOPT_AFTER_MILLISECONDS;
      if (!isServedByDelegates) announceTo(from);
    } else if (knownHash !== published.unconfirmedRoster().hash) {
      sendRoster(from.host, scope);
    }
  }

  return {
    receive(from, message) {
      if (from.role === InstanceRole.Entry) {
        if (members.find(from.instanceId) === undefined) {
          logger.info('entry found', { entry: from.instanceId, host: from.host });
        }
        members.onHeard(from);
      }
      switch (message.kind) {
        case MessageKind.Hello:
          handleHello(from, message);
          return;
        case MessageKind.Roster:
          receivedRosters.onRoster(from, message);
          return;
        case MessageKind.Digest:
          handleDigest(from, message);
          return;
        case MessageKind.Crashes:
          options.onCrashes(from, message.crashes);
          return;
        case MessageKind.RankState:
          handleReport(from, message);
          return;
        case MessageKind.Announcement:
        case MessageKind.ZoneSummary:
        case MessageKind.LeaderHeartbeat:
        case MessageKind.Growth:
        case MessageKind.ReportQuestion:
        case MessageKind.ReportAnswer:
          // Meant for sidecars; may still arrive at an address that a sidecar used before.
          return;
        default: {
          const unreachable: never = message;
          throw new Error(String(unreachable));
        }
      }
    },
    tick() {
      planned = planNow();
      const { isPrimary, isDelegate } = planned;
      sendDigests();
      const uptimeMilliseconds = now() - startedAt;
      const probeIntervalMilliseconds =
        uptimeMilliseconds < STARTUP_MILLISECONDS
          ? STARTUP_PROBE_INTERVAL_MILLISECONDS
          : PROBE_INTERVAL_MILLISECONDS;
      if (now() - probedAt >= probeIntervalMilliseconds) probe();
      if (!planned.isDelegating || uptimeMilliseconds >= ANNOUNCE_AFTER_MILLISECONDS) {
        const isDue = now() - announcedAt >= ANNOUNCEMENT_INTERVAL_MILLISECONDS;
        if (isDue || (isPrimary && !wasPrimary)) announce();
        wasPrimary = isPrimary;
      }
      summarize();
      return isDelegate ? TICK_INTERVAL_MILLISECONDS : DIGEST_INTERVAL_MILLISECONDS;
    },
    expediteDigests,
    announceCrashes(crashes) {
      for (const { host } of members.known()) send(host, { kind: MessageKind.Crashes, crashes });
    },
    isDelegating: () => duties().isDelegating,
    isDelegate: () => duties().isDelegate,
    readingRole: () => duties().readingRole,
    entryIds,
    liveHosts: () => members.seenWithin(EVIDENCE_LIFETIME_MILLISECONDS).map(({ host }) => host),
  };
}
