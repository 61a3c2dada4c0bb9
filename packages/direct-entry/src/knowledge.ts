/**
 * Keeps an entry's catalog: the store's two tables, read by a few entries, and other entries'
 * copies of them for everyone else. A store that turns some instances away still serves the
 * operators, so a removed key or a new route may be known to others only.
 */
import {
  decodeFreshnessReport,
  dropReplacedServers,
  fingerprintOf,
  followTable,
  REREGISTRATION_MILLISECONDS,
  retainExpiredServers,
} from '@lapisbridge/catalog';
import type {
  Catalog,
  FreshnessReport,
  ServerList,
  Store,
  TableFollower,
} from '@lapisbridge/catalog';
import { ReadingRole } from '@lapisbridge/fleet';
import type { InstanceName } from '@lapisbridge/fleet';
import type { JsonObject } from '@lapisbridge/json-call';
import type { MonotonicClock, Random } from '@lapisbridge/kernel';
import type { Logger } from '@lapisbridge/logger';

import type { TableAdapter, TableRows } from './adapters.js';
import { createCopyResponder, FollowedTable } from './copy-exchange.js';
import type { CopyResponder, FetchedCopy } from './copy-exchange.js';
import { createCopyFreshness } from './copy-freshness.js';
import { planReading, SERVERS_WAIT_MILLISECONDS } from './plan-reading.js';
import type { OrderBounds, ReadingPace } from './plan-reading.js';

/** Silence of the store beyond a call's own wait after which a copy is asked of another entry. */
const SILENCE_MILLISECONDS = 300;
const ASK_MILLISECONDS = 500;
/** Knowledge older than this may lack what operators have added since. */
const OUTDATED_MILLISECONDS = 4000;
/** Time without confirmation after which rows of living servers may have lapsed. */
const OUTAGE_MILLISECONDS = 3000;
/** An entry that reads a table itself waits so long for its own call to bring a change. */
const OWN_READ_MILLISECONDS = 400;
/** Time for peers to give a newer copy before the store is asked. */
const BEHIND_MILLISECONDS = 300;
/** Head start of a zone's primary in fetching a copy from another zone. */
const FETCH_HEAD_START_MILLISECONDS = 150;
/** Between two lines about fetches that failed. */
const FETCH_LOG_MILLISECONDS = 1000;
/** Longest pause between tries while the store does not answer. */
const DELEGATE_RETRY_MILLISECONDS = 800;
const FOLLOWER_RETRY_MILLISECONDS = 3000;

export interface KnowledgeOptions {
  /** Kept up to date. */
  readonly catalog: Catalog;
  readonly store: Store;
  readonly tables: TableAdapter;
  readonly logger: Logger;
  readonly random: Random;
  readonly availabilityZone: string;
  readonly now: MonotonicClock;
  /** Asks another entry for its copy. Rejects when no answer came. */
  fetchCopy(host: string, table: FollowedTable, since: number): Promise<FetchedCopy | undefined>;
  bounds(): OrderBounds;
  /** Whether some entries read the store for others. */
  isDelegating(): boolean;
  /** This entry's part in reading the store. */
  role(): ReadingRole;
  /** Hosts of other entries that live. */
  livingHosts(): readonly string[];
  /** Called when this entry has news for the others. */
  onNews(): void;
}

export interface Knowledge {
  /** Answers other entries that ask for a copy. */
  readonly respondWithCopy: CopyResponder;
  start(): void;
  /** Freshness of the copies, as told to other entries. */
  freshness(): JsonObject;
  /** Takes the freshness that another entry tells. */
  onPeerState(from: InstanceName, state: JsonObject): void;
  /** Whether operators may have added what this entry does not know. */
  isOutdated(): boolean;
}

const TABLES = Object.values(FollowedTable);

/** Whether and since when an entry reads a table of the store for itself. */
interface OwnReading {
  isReading: boolean;
  /** Age of the copy when the latest call began. */
  ageMilliseconds: number;
}

/** For logs; undefined where there is no such time. */
function wholeOf(milliseconds: number): number | undefined {
  return Number.isFinite(milliseconds) ? Math.round(milliseconds) : undefined;
}

/** Changes with everything but heartbeats. */
function fingerprintOfServers({ servers }: ServerList): string {
  return fingerprintOf([...servers.values()].map((server) => JSON.stringify(server)));
}

function fingerprintOfRows(rows: TableRows): string {
  return fingerprintOf([...rows.values()].map(({ key, revision }) => `${key} ${revision}`));
}

export function createKnowledge(options: KnowledgeOptions): Knowledge {
  const { logger, random, tables, catalog, now } = options;
  const freshness = createCopyFreshness(now, (table) => followers[table]);
  const { ageOf, clock, versionOf } = freshness;
  const asking = new Set<FollowedTable>();
  let isStoreReachable = true;
  let returnedAt = -Infinity;
  let serversTakenAt = now();
  /** Since when another entry has had a newer copy; undefined while none has. */
  const behindSince: Record<FollowedTable, number | undefined> = {
    [FollowedTable.Operators]: undefined,
    [FollowedTable.Servers]: undefined,
  };
  const ownReading: Record<FollowedTable, OwnReading> = {
    [FollowedTable.Operators]: { isReading: true, ageMilliseconds: Infinity },
    [FollowedTable.Servers]: { isReading: true, ageMilliseconds: Infinity },
  };
  /** Where the copy comes from that is being taken over; undefined for the store. */
  let copiedFrom: string | undefined;
  let fetchLoggedAt = -Infinity;
  let failedFetches = 0;

  function pace(): ReadingPace {
    return planReading({
      bounds: options.bounds(),
      isDelegating: options.isDelegating(),
      role: options.role(),
    });
  }

  function onStoreResult(table: FollowedTable, succeeded: boolean, reason: string): void {
    // What the store itself has told just now is at least as new as what others reported.
    if (succeeded) behindSince[table] = undefined;
    if (succeeded === isStoreReachable) return;
    isStoreReachable = succeeded;
    logger.info(succeeded ? 'store regained' : 'store lost', { reason });
  }

  /** To be called before a new confirmation of the servers' table is noted. */
  function onServersConfirmed(): void {
    const toldFor = ageOf(freshness.latestConfirmation(FollowedTable.Servers)?.confirmedAt);
    if (Math.min(now() - serversTakenAt, toldFor) <= OUTAGE_MILLISECONDS) return;
    returnedAt = now();
    setTimeout(dropLapsed, REREGISTRATION_MILLISECONDS);
  }

  function takeServers(rows: TableRows, revision: number): void {
    onServersConfirmed();
    serversTakenAt = now();
    const listed = tables.decodeServers(rows, revision);
    const servers = retainExpiredServers({
      before: catalog.servers().servers,
      listed: dropReplacedServers(listed.servers),
      sinceRecoveryMilliseconds: now() - returnedAt,
    });
    catalog.replaceServers({ revision, servers });
    const fingerprint = fingerprintOfServers(listed);
    if (freshness.replaceFingerprint(FollowedTable.Servers, fingerprint)) options.onNews();
  }

  function takeOperators(rows: TableRows, revision: number): void {
    const orders = tables.decodeOperators(rows, revision);
    catalog.replaceOperatorState(orders);
    const fingerprint = fingerprintOfRows(rows);
    if (!freshness.replaceFingerprint(FollowedTable.Operators, fingerprint)) return;
    options.onNews();
    logger.info('configuration in force', {
      version: catalog.operatorState().configuration?.version,
      revision,
      drainedZones: [...orders.drainedZones],
      source: copiedFrom ?? 'store',
      age: wholeOf(ownReading[FollowedTable.Operators].ageMilliseconds),
      knownFor: wholeOf(now() - (behindSince[FollowedTable.Operators] ?? now())),
    });
  }

  function limitOf(table: FollowedTable): number {
    switch (table) {
      case FollowedTable.Operators:
        return pace().operatorsLimit;
      case FollowedTable.Servers:
        return pace().serversLimit;
      default: {
        const unreachable: never = table;
        throw new Error(String(unreachable));
      }
    }
  }

  /** Milliseconds for which others read the table for this entry; 0 when it has to itself. */
  function delegatedMilliseconds(table: FollowedTable): number {
    if (options.role() === ReadingRole.Reader) return 0;
    const behind = behindSince[table];
    if (behind !== undefined) return Math.max(0, behind + BEHIND_MILLISECONDS - now());
    return Math.max(0, limitOf(table) - freshness.ageMilliseconds(table));
  }

  /** The same, when the table's follower is about to act on it. */
  function decideReading(table: FollowedTable): number {
    const delegated = delegatedMilliseconds(table);
    const isDelegated = delegated > 0;
    const own = ownReading[table];
    own.ageMilliseconds = freshness.ageMilliseconds(table);
    if (own.isReading !== isDelegated) return delegated;
    own.isReading = !isDelegated;
    logger.info(isDelegated ? 'relying on readers' : 'reading the store', {
      table,
      role: options.role(),
      age: wholeOf(own.ageMilliseconds),
      ownAge: wholeOf(freshness.ownAgeMilliseconds(table)),
      confirmedBy: freshness.latestConfirmation(table)?.entryId,
    });
    return delegated;
  }

  /** The time is up for servers that had only lapsed. */
  function dropLapsed(): void {
    const copy = followers[FollowedTable.Servers].copy();
    if (copy !== undefined) takeServers(copy.rows, copy.revision);
  }

  function maximumRetryMilliseconds(): number {
    return options.role() === ReadingRole.Follower
      ? FOLLOWER_RETRY_MILLISECONDS
      : DELEGATE_RETRY_MILLISECONDS;
  }

  const shared = { store: options.store, part: '', random, clock, now, maximumRetryMilliseconds };
  const followers: Readonly<Record<FollowedTable, TableFollower>> = {
    [FollowedTable.Operators]: followTable({
      ...shared,
      table: tables.operatorsTable,
      delegatedMilliseconds: () => decideReading(FollowedTable.Operators),
      longPollMilliseconds: () => pace().operatorsWait,
      pauseMilliseconds: () => pace().operatorsPause,
      onRows: takeOperators,
      onStoreResult: (succeeded, reason) =>
        onStoreResult(FollowedTable.Operators, succeeded, reason),
    }),
    [FollowedTable.Servers]: followTable({
      ...shared,
      table: tables.serversTable,
      delegatedMilliseconds: () => decideReading(FollowedTable.Servers),
      longPollMilliseconds: () => pace().serversWait,
      pauseMilliseconds: () => pace().serversPause,
      onRows: takeServers,
      onStoreResult: (succeeded, reason) => onStoreResult(FollowedTable.Servers, succeeded, reason),
    }),
  };

  function logFailedFetch(table: FollowedTable, host: string, reason: string): void {
    failedFetches += 1;
    if (now() - fetchLoggedAt < FETCH_LOG_MILLISECONDS) return;
    fetchLoggedAt = now();
    logger.info('copy not fetched', { table, host, reason, failures: failedFetches });
    failedFetches = 0;
  }

  async function ask(table: FollowedTable, host: string): Promise<void> {
    if (asking.has(table)) return;
    asking.add(table);
    const since = versionOf(table).revision;
    const askedAt = now();
    try {
      const fetched = await options.fetchCopy(host, table, since);
      if (fetched === undefined) return;
      const { list, fingerprint, confirmedAt } = fetched;
      ownReading[table].ageMilliseconds = freshness.ageMilliseconds(table);
      copiedFrom = host;
      const isAdopted = followers[table].replaceIfNewer(list);
      copiedFrom = undefined;
      if (confirmedAt !== undefined) {
        const report = { revision: list.revision, fingerprint, confirmedAt };
        freshness.onReport(table, `copy of ${host}`, report);
      }
      if (isAdopted) {
        behindSince[table] = undefined;
        logger.info('copy taken from a peer', {
          table,
          host,
          revision: list.revision,
          milliseconds: Math.round(now() - askedAt),
        });
      }
    } catch (thrown) {
      logFailedFetch(table, host, String(thrown));
    } finally {
      copiedFrom = undefined;
      asking.delete(table);
    }
  }

  /** How long a newer copy may be known of before it is fetched. */
  function fetchDelayMilliseconds(table: FollowedTable, isInZone: boolean): number {
    const role = options.role();
    if (role === ReadingRole.Reader) {
      if (table === FollowedTable.Operators) return OWN_READ_MILLISECONDS;
      // Servers' rows are read at a slow pace, so a copy from next door is worth its bytes.
      return isInZone ? 0 : pace().serversPause + OWN_READ_MILLISECONDS;
    }
    return isInZone || role === ReadingRole.Primary ? 0 : FETCH_HEAD_START_MILLISECONDS;
  }

  /** Fetches another entry's copy where it is newer and the own reading does not bring it. */
  function catchUp(table: FollowedTable, from: InstanceName, report: FreshnessReport): void {
    const own = versionOf(table);
    const isSame = report.fingerprint === own.fingerprint;
    if (isSame) followers[table].advanceRevision(report.revision);
    if (isSame || report.revision <= own.revision) return;
    behindSince[table] ??= now();
    const behindFor = now() - (behindSince[table] ?? 0);
    const isInZone = from.availabilityZone === options.availabilityZone;
    if (behindFor >= fetchDelayMilliseconds(table, isInZone)) void ask(table, from.host);
  }

  /** Silence of the store that shows a call to be stuck or failing. */
  function isSilent(table: FollowedTable): boolean {
    const { operatorsWait, serversPause } = pace();
    const usual =
      table === FollowedTable.Operators ? operatorsWait : serversPause + SERVERS_WAIT_MILLISECONDS;
    return freshness.ageMilliseconds(table) > usual + SILENCE_MILLISECONDS;
  }

  function askWhereSilent(): void {
    const hosts = options.livingHosts();
    const host = hosts[Math.floor(random() * hosts.length)];
    if (host === undefined) return;
    for (const table of TABLES) {
      const isFailing = followers[table].isFailing() || isSilent(table);
      if (isFailing && delegatedMilliseconds(table) === 0) void ask(table, host);
    }
  }

  return {
    respondWithCopy: createCopyResponder({
      copy: (table) => followers[table].copy(),
      freshness: freshness.reportOf,
    }),
    start() {
      for (const follower of Object.values(followers)) follower.start();
      setInterval(askWhereSilent, ASK_MILLISECONDS);
    },
    freshness() {
      const reports: Record<string, FreshnessReport> = {};
      for (const table of TABLES) {
        const report = freshness.reportOf(table);
        if (report !== undefined) reports[table] = report;
      }
      return reports;
    },
    onPeerState(from, state) {
      for (const table of TABLES) {
        const report = decodeFreshnessReport(state[table]);
        if (report === undefined) continue;
        clock.observe(report.confirmedAt);
        const isRecent = ageOf(report.confirmedAt) < OUTAGE_MILLISECONDS;
        if (table === FollowedTable.Servers && isRecent) onServersConfirmed();
        freshness.onReport(table, from.instanceId, report);
        catchUp(table, from, report);
      }
    },
    isOutdated: () => freshness.ageMilliseconds(FollowedTable.Operators) > OUTDATED_MILLISECONDS,
  };
}
