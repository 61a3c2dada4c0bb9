/**
 * Keeps an entry's catalog up to date. A few entries read the two tables of the store; all others
 * fetch their copies. A store that refuses calls of some entries may still accept changes from
 * operators, so a removed API key or a new route may be known to other entries only.
 */
import { decodeFreshnessReport, fingerprintOf, followTable } from '@lapisbridge/catalog';
import type {
  Catalog,
  FreshnessReport,
  ServerList,
  Store,
  StoreCallResult,
  StoreRow,
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
import { planStoreReads, SERVERS_LONG_POLL_MILLISECONDS } from './plan-reading.js';
import type { PropagationBounds, StoreReadPlan } from './plan-reading.js';
import { createUnlistedServers } from './unlisted-servers.js';

/**
 * Age of a copy, beyond the usual interval between reads, at which it is fetched from another
 * entry.
 */
const STORE_SILENCE_MILLISECONDS = 300;
const PEER_FETCH_INTERVAL_MILLISECONDS = 500;
/** An older copy of the operators' table may lack recent changes. */
const OUTDATED_MILLISECONDS = 4000;
/** Time for which a reader waits for its own call to return a change that peers have. */
const OWN_READ_GRACE_MILLISECONDS = 400;
/** Time to get a newer copy from peers before calling the store for it. */
const PEER_COPY_GRACE_MILLISECONDS = 300;
/** Delay of other entries after their zone's primary when fetching a copy from another zone. */
const FETCH_STAGGER_MILLISECONDS = 150;
/** Shortest interval between two log lines about failed fetches. */
const FETCH_LOG_INTERVAL_MILLISECONDS = 1000;
/** Upper bounds of the backoff while calls to the store fail. */
const MAXIMUM_DELEGATE_RETRY_MILLISECONDS = 800;
const MAXIMUM_FOLLOWER_RETRY_MILLISECONDS = 3000;

/** The store, the fleet and the catalog that the sync connects. */
export interface CatalogSyncOptions {
  /** The catalog to update. */
  readonly catalog: Catalog;
  readonly store: Store;
  readonly tables: TableAdapter;
  readonly logger: Logger;
  readonly random: Random;
  readonly availabilityZone: string;
  readonly now: MonotonicClock;
  /** Fetches another entry's copy if it is newer than a revision; rejects without a response. */
  fetchCopy(host: string, table: FollowedTable, since: number): Promise<FetchedCopy | undefined>;
  /** Times within which changes must be in force. */
  bounds(): PropagationBounds;
  /** Whether some entries read the store on behalf of others. */
  isDelegating(): boolean;
  /** This entry's role in reading the store. */
  role(): ReadingRole;
  /** Hosts of the other entries that are alive. */
  livePeerHosts(): readonly string[];
  /** Called when the content of a copy has changed, so that other entries are told at once. */
  onFreshnessChange(): void;
}

/** Keeps the catalog up to date once it is started. */
export interface CatalogSync {
  /** Handles requests of other entries for a copy. */
  readonly respondWithCopy: CopyResponder;
  start(): void;
  /** Freshness reports on this entry's copies by table, as sent to other entries. */
  freshness(): JsonObject;
  /** Handles the freshness reports of another entry; fetches its copies if they are newer. */
  onPeerFreshness(from: InstanceName, peerFreshness: JsonObject): void;
  /** Whether the configuration may lack recent changes by operators. */
  isOutdated(): boolean;
  /** Number of servers in use that the list lacks. */
  unlistedServers(): number;
}

const TABLES = Object.values(FollowedTable);

/** Whether this entry reads a table directly, and the age of its copy, for log lines. */
interface DirectReadState {
  isReading: boolean;
  /** Age of the copy when the latest call or fetch began. */
  ageMilliseconds: number;
}

/** Rounds a duration for log lines; undefined if it is not finite. */
function roundFinite(milliseconds: number): number | undefined {
  return Number.isFinite(milliseconds) ? Math.round(milliseconds) : undefined;
}

/**
 * Heartbeats do not change it. It hashes the JSON of the decoded servers, so entries whose
 * `BackendServer` has other field names have other fingerprints.
 */
function fingerprintOfServers({ servers }: ServerList): string {
  return fingerprintOf([...servers.values()].map((server) => JSON.stringify(server)));
}

function fingerprintOfRows(rows: TableRows): string {
  return fingerprintOf([...rows.values()].map(({ key, revision }) => `${key} ${revision}`));
}

/** Creates the sync of one entry; it makes no calls until `start`. */
export function createCatalogSync(options: CatalogSyncOptions): CatalogSync {
  const { logger, random, tables, catalog, now } = options;
  const freshness = createCopyFreshness(now, (table) => followers[table]);
  const { ageOf, clock, versionOf } = freshness;
  const fetching = new Set<FollowedTable>();
  let isStoreReachable = true;
  const unlistedServers = createUnlistedServers({
    catalog,
    logger,
    now,
    drainingBoundMilliseconds: () => options.bounds().draining,
    completeAt: () => now() - freshness.ageMilliseconds(FollowedTable.Servers),
    refresh: () => followers[FollowedTable.Servers].refresh(),
  });
  /** Time since which another entry has had a newer copy; undefined while none has. */
  const behindSince: Record<FollowedTable, number | undefined> = {
    [FollowedTable.Operators]: undefined,
    [FollowedTable.Servers]: undefined,
  };
  const directRead: Record<FollowedTable, DirectReadState> = {
    [FollowedTable.Operators]: { isReading: true, ageMilliseconds: Infinity },
    [FollowedTable.Servers]: { isReading: true, ageMilliseconds: Infinity },
  };
  /** Host of the entry whose copy is being applied; undefined if it is from the store. */
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

  function onStoreResult(
    table: FollowedTable,
    { succeeded, reason, requestedAt }: StoreCallResult,
  ): void {
    if (!succeeded) unlistedServers.onCallFailed(requestedAt);
    else if (table === FollowedTable.Servers) onServersConfirmed();
    // A response of the store is at least as new as the copies that others have reported.
    if (succeeded) behindSince[table] = undefined;
    if (succeeded === isStoreReachable) return;
    isStoreReachable = succeeded;
    logger.info(succeeded ? 'store regained' : 'store lost', { reason });
  }

  function recordServersConfirmation(): void {
    const latestAge = Math.min(
      freshness.ownAgeMilliseconds(FollowedTable.Servers),
      ageOf(freshness.latestConfirmation(FollowedTable.Servers)?.confirmedAt),
    );
    unlistedServers.onConfirmed(now() - latestAge);
  }

  /** Handles a confirmation of this entry's list or of that of another entry. */
  function onServersConfirmed(): void {
    recordServersConfirmation();
    unlistedServers.review();
  }

  /** Invalid rows of any size must not make the copies too large to exchange. */
  function compactServerRow(row: StoreRow): StoreRow {
    return tables.isServerRow(row) ? row : { ...row, value: Buffer.alloc(0) };
  }

  function applyServers(rows: TableRows, revision: number): void {
    const list = tables.decodeServerList(rows, revision);
    const fingerprint = fingerprintOfServers(list);
    const isChanged = freshness.replaceFingerprint(FollowedTable.Servers, fingerprint);
    recordServersConfirmation();
    unlistedServers.apply(list);
    if (isChanged) options.onFreshnessChange();
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

  /**
   * Milliseconds for which this entry still relies on the reads of others; 0 if it has to call the
   * store itself.
   */
  function delegatedMilliseconds(table: FollowedTable): number {
    if (options.role() === ReadingRole.Reader) return 0;
    const behind = behindSince[table];
    if (behind !== undefined) return Math.max(0, behind + PEER_COPY_GRACE_MILLISECONDS - now());
    return Math.max(0, directReadAgeOf(table) - freshness.ageMilliseconds(table));
  }

  /** Returns `delegatedMilliseconds` for the table's follower, and logs when reading changes. */
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
      onStoreResult: (result) => onStoreResult(FollowedTable.Operators, result),
    }),
    [FollowedTable.Servers]: followTable({
      ...sharedOptions,
      table: tables.serversTable,
      delegatedMilliseconds: () => updateDirectRead(FollowedTable.Servers),
      longPollMilliseconds: () => readPlan().serversLongPollMilliseconds,
      pauseMilliseconds: () => readPlan().serversPauseMilliseconds,
      compact: compactServerRow,
      onRows: applyServers,
      onStoreResult: (result) => onStoreResult(FollowedTable.Servers, result),
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
      if (confirmedAt !== undefined) {
        const report = { revision: list.revision, fingerprint, confirmedAt };
        freshness.onReport(table, `copy of ${host}`, report);
      }
      const isAdopted = followers[table].replaceIfNewer(list);
      copySourceHost = undefined;
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

  /** Delay before a newer copy that another entry has reported is fetched. */
  function fetchDelayMilliseconds(table: FollowedTable, isSameZone: boolean): number {
    const role = options.role();
    if (role === ReadingRole.Reader) {
      if (table === FollowedTable.Operators) return OWN_READ_GRACE_MILLISECONDS;
      // Readers poll the servers' table slowly, so a copy from the same zone is worth its traffic.
      return isSameZone ? 0 : readPlan().serversPauseMilliseconds + OWN_READ_GRACE_MILLISECONDS;
    }
    return isSameZone || role === ReadingRole.Primary ? 0 : FETCH_STAGGER_MILLISECONDS;
  }

  /** Fetches another entry's copy if it is newer and reading the store has not returned it. */
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

  /** Whether the copy is so old that a call to the store must be stuck or failing. */
  function isStoreSilent(table: FollowedTable): boolean {
    const { operatorsLongPollMilliseconds: operatorsWait, serversPauseMilliseconds: serversPause } =
      readPlan();
    const expectedAge =
      table === FollowedTable.Operators
        ? operatorsWait
        : serversPause + SERVERS_LONG_POLL_MILLISECONDS;
    return freshness.ageMilliseconds(table) > expectedAge + STORE_SILENCE_MILLISECONDS;
  }

  /** Fetches tables that this entry cannot read from a random other entry. */
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
      unlistedServers.start();
      setInterval(fetchStaleTables, PEER_FETCH_INTERVAL_MILLISECONDS);
    },
    freshness() {
      const reports: Record<string, FreshnessReport> = {};
      for (const table of TABLES) {
        const report = freshness.reportOf(table);
        if (report !== undefined) reports[table] = report;
      }
      const { [FollowedTable.Servers]: servers } = reports;
      const returnedAt = clock.storeTimeAt(unlistedServers.storeReturnedAt());
      if (servers !== undefined && returnedAt !== undefined && Number.isFinite(returnedAt))
        reports[FollowedTable.Servers] = { ...servers, returnedAt };
      return reports;
    },
    onPeerFreshness(from, peerFreshness) {
      for (const table of TABLES) {
        const report = decodeFreshnessReport(peerFreshness[table]);
        if (report === undefined) continue;
        clock.observe(report.confirmedAt);
        freshness.onReport(table, from.instanceId, report);
        if (table === FollowedTable.Servers) {
          onServersConfirmed();
          if (report.returnedAt !== undefined)
            unlistedServers.onPeerOutageEnd(now() - ageOf(report.returnedAt));
        }
        fetchIfBehind(table, from, report);
      }
    },
    unlistedServers: unlistedServers.count,
    isOutdated: () => freshness.ageMilliseconds(FollowedTable.Operators) > OUTDATED_MILLISECONDS,
  };
}
