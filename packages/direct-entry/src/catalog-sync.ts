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
import { planStoreReads, SERVERS_LONG_POLL_MILLISECONDS } from './plan-store-reads.js';
import type { PropagationBounds, StoreReadPlan } from './plan-store-reads.js';

/** Silence of the store beyond a call's own wait after which a copy is asked of another entry. */
const STORE_SILENCE_MILLISECONDS = 300;
const PEER_FETCH_INTERVAL_MILLISECONDS = 500;
/** Knowledge older than this may lack what operators have added since. */
const OUTDATED_MILLISECONDS = 4000;
/** Time without confirmation after which rows of living servers may have lapsed. */
const OUTAGE_MILLISECONDS = 3000;
/** An entry that reads a table itself waits so long for its own call to bring a change. */
const OWN_READ_GRACE_MILLISECONDS = 400;
/** Time for peers to give a newer copy before the store is asked. */
const PEER_COPY_GRACE_MILLISECONDS = 300;
/** Head start of a zone's primary in fetching a copy from another zone. */
const FETCH_STAGGER_MILLISECONDS = 150;
/** Between two lines about fetches that failed. */
const FETCH_LOG_INTERVAL_MILLISECONDS = 1000;
/** Longest pause between tries while the store does not answer. */
const MAXIMUM_DELEGATE_RETRY_MILLISECONDS = 800;
const MAXIMUM_FOLLOWER_RETRY_MILLISECONDS = 3000;

export interface CatalogSyncOptions {
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
  bounds(): PropagationBounds;
  /** Whether some entries read the store for others. */
  isDelegating(): boolean;
  /** This entry's part in reading the store. */
  role(): ReadingRole;
  /** Hosts of other entries that live. */
  livePeerHosts(): readonly string[];
  /** Called when this entry has news for the others. */
  onFreshnessChange(): void;
}

export interface CatalogSync {
  /** Answers other entries that ask for a copy. */
  readonly respondWithCopy: CopyResponder;
  start(): void;
  /** Freshness of the copies, as told to other entries. */
  freshness(): JsonObject;
  /** Takes the freshness that another entry tells. */
  onPeerFreshness(from: InstanceName, peerFreshness: JsonObject): void;
  /** Whether operators may have added what this entry does not know. */
  isOutdated(): boolean;
}

const TABLES = Object.values(FollowedTable);

/** Whether and since when an entry reads a table of the store for itself. */
interface DirectReadState {
  isReading: boolean;
  /** Age of the copy when the latest call began. */
  ageMilliseconds: number;
}

/** For logs; undefined where there is no such time. */
function roundFinite(milliseconds: number): number | undefined {
  return Number.isFinite(milliseconds) ? Math.round(milliseconds) : undefined;
}

/** Changes with everything but heartbeats. */
function fingerprintOfServers({ servers }: ServerList): string {
  return fingerprintOf([...servers.values()].map((server) => JSON.stringify(server)));
}

function fingerprintOfRows(rows: TableRows): string {
  return fingerprintOf([...rows.values()].map(({ key, revision }) => `${key} ${revision}`));
}

export function createCatalogSync(options: CatalogSyncOptions): CatalogSync {
  const { logger, random, tables, catalog, now } = options;
  const freshness = createCopyFreshness(now, (table) => followers[table]);
  const { ageOf, clock, versionOf } = freshness;
  const fetching = new Set<FollowedTable>();
  let isStoreReachable = true;
  let recoveredAt = -Infinity;
  let serversAppliedAt = now();
  /** Since when another entry has had a newer copy; undefined while none has. */
  const behindSince: Record<FollowedTable, number | undefined> = {
    [FollowedTable.Operators]: undefined,
    [FollowedTable.Servers]: undefined,
  };
  const directRead: Record<FollowedTable, DirectReadState> = {
    [FollowedTable.Operators]: { isReading: true, ageMilliseconds: Infinity },
    [FollowedTable.Servers]: { isReading: true, ageMilliseconds: Infinity },
  };
  /** Where the copy comes from that is being taken over; undefined for the store. */
  let copySourceHost: string | undefined;
  let fetchLoggedAt = -Infinity;
  let failedFetches = 0;

  function readPlan(): StoreReadPlan {
    return planStoreReads({
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
    const peerConfirmationAge = ageOf(
      freshness.latestConfirmation(FollowedTable.Servers)?.confirmedAt,
    );
    if (Math.min(now() - serversAppliedAt, peerConfirmationAge) <= OUTAGE_MILLISECONDS) return;
    recoveredAt = now();
    setTimeout(dropExpiredServers, REREGISTRATION_MILLISECONDS);
  }

  function applyServers(rows: TableRows, revision: number): void {
    onServersConfirmed();
    serversAppliedAt = now();
    const listed = tables.decodeServerList(rows, revision);
    const servers = retainExpiredServers({
      before: catalog.servers().servers,
      listed: dropReplacedServers(listed.servers),
      sinceRecoveryMilliseconds: now() - recoveredAt,
    });
    catalog.replaceServers({ revision, servers });
    const fingerprint = fingerprintOfServers(listed);
    if (freshness.replaceFingerprint(FollowedTable.Servers, fingerprint))
      options.onFreshnessChange();
  }

  function applyOperatorState(rows: TableRows, revision: number): void {
    const operatorState = tables.decodeOperatorState(rows, revision);
    catalog.replaceOperatorState(operatorState);
    const fingerprint = fingerprintOfRows(rows);
    if (!freshness.replaceFingerprint(FollowedTable.Operators, fingerprint)) return;
    options.onFreshnessChange();
    logger.info('configuration in force', {
      version: catalog.operatorState().configuration?.version,
      revision,
      drainedZones: [...operatorState.drainedZones],
      source: copySourceHost ?? 'store',
      age: roundFinite(directRead[FollowedTable.Operators].ageMilliseconds),
      knownFor: roundFinite(now() - (behindSince[FollowedTable.Operators] ?? now())),
    });
  }

  function directReadAgeOf(table: FollowedTable): number {
    switch (table) {
      case FollowedTable.Operators:
        return readPlan().operatorsDirectReadAgeMilliseconds;
      case FollowedTable.Servers:
        return readPlan().serversDirectReadAgeMilliseconds;
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
    if (behind !== undefined) return Math.max(0, behind + PEER_COPY_GRACE_MILLISECONDS - now());
    return Math.max(0, directReadAgeOf(table) - freshness.ageMilliseconds(table));
  }

  /** The same, when the table's follower is about to act on it. */
  function updateDirectRead(table: FollowedTable): number {
    const delegated = delegatedMilliseconds(table);
    const isDelegated = delegated > 0;
    const own = directRead[table];
    own.ageMilliseconds = freshness.ageMilliseconds(table);
    if (own.isReading !== isDelegated) return delegated;
    own.isReading = !isDelegated;
    logger.info(isDelegated ? 'relying on readers' : 'reading the store', {
      table,
      role: options.role(),
      age: roundFinite(own.ageMilliseconds),
      ownAge: roundFinite(freshness.ownAgeMilliseconds(table)),
      confirmedBy: freshness.latestConfirmation(table)?.entryId,
    });
    return delegated;
  }

  /** The time is up for servers that had only lapsed. */
  function dropExpiredServers(): void {
    const copy = followers[FollowedTable.Servers].copy();
    if (copy !== undefined) applyServers(copy.rows, copy.revision);
  }

  function maximumRetryMilliseconds(): number {
    return options.role() === ReadingRole.Follower
      ? MAXIMUM_FOLLOWER_RETRY_MILLISECONDS
      : MAXIMUM_DELEGATE_RETRY_MILLISECONDS;
  }

  const sharedOptions = {
    store: options.store,
    part: '',
    random,
    clock,
    now,
    maximumRetryMilliseconds,
  };
  const followers: Readonly<Record<FollowedTable, TableFollower>> = {
    [FollowedTable.Operators]: followTable({
      ...sharedOptions,
      table: tables.operatorsTable,
      delegatedMilliseconds: () => updateDirectRead(FollowedTable.Operators),
      longPollMilliseconds: () => readPlan().operatorsLongPollMilliseconds,
      pauseMilliseconds: () => readPlan().operatorsPauseMilliseconds,
      onRows: applyOperatorState,
      onStoreResult: (succeeded, reason) =>
        onStoreResult(FollowedTable.Operators, succeeded, reason),
    }),
    [FollowedTable.Servers]: followTable({
      ...sharedOptions,
      table: tables.serversTable,
      delegatedMilliseconds: () => updateDirectRead(FollowedTable.Servers),
      longPollMilliseconds: () => readPlan().serversLongPollMilliseconds,
      pauseMilliseconds: () => readPlan().serversPauseMilliseconds,
      onRows: applyServers,
      onStoreResult: (succeeded, reason) => onStoreResult(FollowedTable.Servers, succeeded, reason),
    }),
  };

  function logFailedFetch(table: FollowedTable, host: string, reason: string): void {
    failedFetches += 1;
    if (now() - fetchLoggedAt < FETCH_LOG_INTERVAL_MILLISECONDS) return;
    fetchLoggedAt = now();
    logger.info('copy not fetched', { table, host, reason, failures: failedFetches });
    failedFetches = 0;
  }

  async function fetchFromPeer(table: FollowedTable, host: string): Promise<void> {
    if (fetching.has(table)) return;
    fetching.add(table);
    const since = versionOf(table).revision;
    const fetchStartedAt = now();
    try {
      const fetched = await options.fetchCopy(host, table, since);
      if (fetched === undefined) return;
      const { list, fingerprint, confirmedAt } = fetched;
      directRead[table].ageMilliseconds = freshness.ageMilliseconds(table);
      copySourceHost = host;
      const isAdopted = followers[table].replaceIfNewer(list);
      copySourceHost = undefined;
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
          milliseconds: Math.round(now() - fetchStartedAt),
        });
      }
    } catch (thrown) {
      logFailedFetch(table, host, String(thrown));
    } finally {
      copySourceHost = undefined;
      fetching.delete(table);
    }
  }

  /** How long a newer copy may be known of before it is fetched. */
  function fetchDelayMilliseconds(table: FollowedTable, isSameZone: boolean): number {
    const role = options.role();
    if (role === ReadingRole.Reader) {
      if (table === FollowedTable.Operators) return OWN_READ_GRACE_MILLISECONDS;
      // Servers' rows are read at a slow pace, so a copy from next door is worth its bytes.
      return isSameZone ? 0 : readPlan().serversPauseMilliseconds + OWN_READ_GRACE_MILLISECONDS;
    }
    return isSameZone || role === ReadingRole.Primary ? 0 : FETCH_STAGGER_MILLISECONDS;
  }

  /** Fetches another entry's copy where it is newer and the own reading does not bring it. */
  function fetchIfBehind(table: FollowedTable, from: InstanceName, report: FreshnessReport): void {
    const own = versionOf(table);
    const isSame = report.fingerprint === own.fingerprint;
    if (isSame) followers[table].advanceRevision(report.revision);
    if (isSame || report.revision <= own.revision) return;
    behindSince[table] ??= now();
    const behindFor = now() - (behindSince[table] ?? 0);
    const isSameZone = from.availabilityZone === options.availabilityZone;
    if (behindFor >= fetchDelayMilliseconds(table, isSameZone))
      void fetchFromPeer(table, from.host);
  }

  /** Silence of the store that shows a call to be stuck or failing. */
  function isStoreSilent(table: FollowedTable): boolean {
    const { operatorsLongPollMilliseconds: operatorsWait, serversPauseMilliseconds: serversPause } =
      readPlan();
    const expectedAge =
      table === FollowedTable.Operators
        ? operatorsWait
        : serversPause + SERVERS_LONG_POLL_MILLISECONDS;
    return freshness.ageMilliseconds(table) > expectedAge + STORE_SILENCE_MILLISECONDS;
  }

  function fetchStaleTables(): void {
    const hosts = options.livePeerHosts();
    const host = hosts[Math.floor(random() * hosts.length)];
    if (host === undefined) return;
    for (const table of TABLES) {
      const isFailing = followers[table].isFailing() || isStoreSilent(table);
      if (isFailing && delegatedMilliseconds(table) === 0) void fetchFromPeer(table, host);
    }
  }

  return {
    respondWithCopy: createCopyResponder({
      copy: (table) => followers[table].copy(),
      freshness: freshness.reportOf,
    }),
    start() {
      for (const follower of Object.values(followers)) follower.start();
      setInterval(fetchStaleTables, PEER_FETCH_INTERVAL_MILLISECONDS);
    },
    freshness() {
      const reports: Record<string, FreshnessReport> = {};
      for (const table of TABLES) {
        const report = freshness.reportOf(table);
        if (report !== undefined) reports[table] = report;
      }
      return reports;
    },
    onPeerFreshness(from, peerFreshness) {
      for (const table of TABLES) {
        const report = decodeFreshnessReport(peerFreshness[table]);
        if (report === undefined) continue;
        clock.observe(report.confirmedAt);
        const isRecent = ageOf(report.confirmedAt) < OUTAGE_MILLISECONDS;
        if (table === FollowedTable.Servers && isRecent) onServersConfirmed();
        freshness.onReport(table, from.instanceId, report);
        fetchIfBehind(table, from, report);
      }
    },
    isOutdated: () => freshness.ageMilliseconds(FollowedTable.Operators) > OUTDATED_MILLISECONDS,
  };
}
