/**
 * An entry's part in relaying knowledge: it finds the other entries, reports to the delegates of
 * its availability zone, and relays loads, counts and freshness while it is a delegate itself.
 * No sockets and no timers: messages go out through `send`, time passes through `tick`.
 */
import type { GroupProfile } from '@lapisbridge/group-leader';
import type { JsonObject } from '@lapisbridge/json-call';
import type { Logger } from '@lapisbridge/logger';

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
  /** Entries to reckon with, the known ones at least. */
  fleetSize(): number;
  /** Limits of the engines, by service. */
  profiles(): Readonly<Record<string, GroupProfile>>;
  /** How fresh this entry's copies of the store's tables are. */
  freshness(): JsonObject;
  onFreshness(from: InstanceName, freshness: JsonObject): void;
  /** What this entry knows of backend servers' rate limits. */
  rateLimits(): readonly RelayedRateLimit[];
  onRateLimits(limits: readonly RelayedRateLimit[]): void;
  /** Loads that are newer than those told before. */
  onLoads(loads: readonly RankLoad[]): void;
  send(host: string, message: FleetMessage): void;
  /** Asks for a call of `tick` before the next regular one. */
  requestTick(): void;
  now(): number;
  /** Uniform in [0, 1). */
  random(): number;
}

export interface EntryFleet {
  receive(from: InstanceName, message: FleetMessage): void;
  /** Sends what is due. Returns the milliseconds until it is to be called again. */
  tick(): number;
  /** Sends digests at once when others rely on this entry: it has news. */
  expediteDigests(): void;
  /** Whether delegates relay knowledge, as in a large fleet. */
  isDelegating(): boolean;
  /** Whether this entry is a delegate; all are in a small fleet. */
  isDelegate(): boolean;
  /** This entry's part in following the store. */
  readingRole(): ReadingRole;
  /** Instance ids of all known entries, this one included; a new list whenever it changes. */
  entryIds(): readonly string[];
  /** Hosts of entries that were seen lately. */
  liveHosts(): readonly string[];
}

/** Between two ticks of an entry that others rely on. */
const TICK_INTERVAL_MILLISECONDS = 100;
/** Between two digests of a zone's primary, and of any other entry. */
const PRIMARY_DIGEST_INTERVAL_MILLISECONDS = 250;
const DIGEST_INTERVAL_MILLISECONDS = 500;
const DIGEST_INTERVAL_MILLISECONDS_PER_RANK = 3;
/** Bursts of news are told together. */
const MINIMUM_DIGEST_INTERVAL_MILLISECONDS = 30;
const ANNOUNCEMENT_INTERVAL_MILLISECONDS = 1000;
const SUMMARY_INTERVAL_MILLISECONDS = 300;
/** Between two tries to reach suspected entries, and one more entry that may know others. */
const PROBE_INTERVAL_MILLISECONDS = 1000;
/** The same just after the start, when names are found fastest by asking the seeds again. */
const STARTUP_PROBE_INTERVAL_MILLISECONDS = 150;
const STARTUP_MILLISECONDS = 1500;
/** A sidecar whose zone's delegates have not found it for this long is answered by any entry. */
const ADOPT_AFTER_MILLISECONDS = 1200;
/**
 * After this an entry that still finds itself a delegate announces itself: before, every entry of
 * a fleet that starts at once knows too few others, and sidecars would report to all of them.
 */
const ANNOUNCE_AFTER_MILLISECONDS = 500;
/** Between two requests for the roster of the same entry. */
const ROSTER_REQUEST_INTERVAL_MILLISECONDS = 200;
/** Entries that asked for digests within this time get them. */
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
  /** When entries that rely on this one were heard. */
  const dependentHeardAt = new Map<string, number>();
  const rosterRequestedAt = new Map<string, number>();
  const summarySentAt = new Map<string, number>();
  const startedAt = now();
  let announcedAt = -Infinity;
  let probedAt = -Infinity;
  /** When something happened that others must hear at once. */
  let expeditedAt = -Infinity;
  let wasPrimary = false;
  let cachedEntryIds: readonly string[] = [self.instanceId];
  let cachedMembers: readonly InstanceName[] | undefined;
  /** Planned at each tick: planning ranks every known entry. */
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

  /** Loads for another entry: a primary tells its zone everything, and other zones its own ranks. */
  function loadsFor(to: InstanceName): RankLoad[] {
    const { isDelegating, isPrimary } = duties();
    if (!isDelegating) return [];
    const isOwnZone = to.availabilityZone === self.availabilityZone;
    if (isPrimary) return isOwnZone ? loadTable.all() : loadTable.local();
    // Sidecars that found no delegate in their own zone report here.
    return loadTable.direct((sidecar) => sidecar.availabilityZone !== self.availabilityZone);
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
    });
  }

  /** Entries whose digests this one relies on, and which therefore must answer. */
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

  /** Digests to the own zone tell all loads: with more of them, they are further apart. */
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
    // Timers fire late, never early: without slack each pause would grow by a tick.
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
      // An entry that relies on one that is no delegate lacks the names of those that are.
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

  /** An entry to ask for names that this one lacks: a seed at first, later any. */
  function pickDiscoveryHost(): string | undefined {
    const isStarting = now() - startedAt < STARTUP_MILLISECONDS;
    const hosts = isStarting || members.known().length === 0 ? [...options.seedHosts()] : [];
    if (hosts.length === 0) for (const { host } of members.known()) hosts.push(host);
    return hosts[Math.floor(options.random() * hosts.length)];
  }

  /**
   * Looks for entries that fell silent and may be back, and, while others rely on this entry, for
   * those that it does not know: parts of a zone that started apart would stay apart.
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

  /** Sends digests at once where others rely on this entry. */
  function expediteDigests(): void {
    if (!duties().isDelegate) return;
    expeditedAt = now();
    options.requestTick();
  }

  function handleLeader(group: string, host: string, fence: number): void {
    if (!leaders.onLeader({ group, host, fence })) return;
    // A new leader can do nothing until it knows where the ranks are.
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
    const { group, rank, epoch, isOpen, running, waiting } = state;
    options.onLoads([{ group, rank, epoch, isOpen, running, waiting, ageMilliseconds: 0 }]);
    // In a small fleet every entry hears the sidecars itself.
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
    // An entry that is no delegate tells only of sidecars that found none in their own zone.
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
        case MessageKind.RankState:
          handleReport(from, message);
          return;
        case MessageKind.Announcement:
        case MessageKind.ZoneSummary:
        case MessageKind.LeaderHeartbeat:
        case MessageKind.Growth:
        case MessageKind.ReportQuestion:
        case MessageKind.ReportAnswer:
          // For sidecars; an address that changed hands may still get some.
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
    isDelegating: () => duties().isDelegating,
    isDelegate: () => duties().isDelegate,
    readingRole: () => duties().readingRole,
    entryIds,
    liveHosts: () => members.seenWithin(EVIDENCE_LIFETIME_MILLISECONDS).map(({ host }) => host),
  };
}
