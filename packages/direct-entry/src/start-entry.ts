/**
 * The entry program: accepts callers' requests and forwards them to backend servers. This module
 * creates its parts and connects them.
 */
import { createServer } from 'node:http';
import { getHeapStatistics } from 'node:v8';

import { createCatalog } from '@lapisbridge/catalog';
import {
  createClientGuard,
  determineMachineSize,
  planClientLimits,
} from '@lapisbridge/client-limits';
import type { ClientGuard } from '@lapisbridge/client-limits';
import { createCrashLedger, encodeCrashStatements } from '@lapisbridge/crash-attribution';
import {
  createArrivalMeter,
  createCallerBacklog,
  createCallerListener,
  createColdStartShare,
  createContentionCounts,
  createGroupHealth,
  createGroupLoads,
  createGroupPassMeter,
  createInFlightRequests,
  createEntryShutdown,
  createEventActivity,
  createResponseBuffers,
  createResponseTimes,
  createRetryBudgetShare,
  createServerBackoffs,
  createServerDepartures,
  createServerEndDetector,
  createServerLoadTracker,
  createServerLiveness,
  createServerMemory,
  createServerRateLimits,
  createServerStatements,
  planBacklogLimits,
  probeConnection,
} from '@lapisbridge/forwarding';
import type { ForwardContext, SendingEntries } from '@lapisbridge/forwarding';
import { createHedgeBudget } from '@lapisbridge/hedging';
import type { Address } from '@lapisbridge/json-call';
import { createGroupConcurrency, createAccountShares } from '@lapisbridge/load-shedding';
import { createRandom, monotonicClock } from '@lapisbridge/kernel';
import { createMetrics, startMetricsListener } from '@lapisbridge/metrics';
import { beginLife, endOnSignal, endUnstarted } from '@lapisbridge/process-life';
import { createWorkEstimator } from '@lapisbridge/work-estimate';

import type { EntryAdapters } from './adapters.js';
import { fetchCopy } from './copy-exchange.js';
import { startInstanceListener } from './instance-listener.js';
import { createAccountWeights } from './account-weights.js';
import { createCatalogSync } from './catalog-sync.js';
import type { CatalogSync } from './catalog-sync.js';
import {
  createEntryCountPeak,
  estimateEntryCount,
  knowsAllEntries,
  planRetrySharers,
} from './plan-entries.js';
import { createQuarantineSync } from './quarantine-sync.js';
import { registerEntryMetrics } from './register-entry-metrics.js';
import { startFleet } from './start-fleet.js';

/** Timeout of a call to the store, in addition to the time for which the store may hold it. */
const STORE_TIMEOUT_MILLISECONDS = 700;
/**
 * Time for which a stopping entry still accepts connections: the load balancer checks once per
 * second and removes an instance after two failed checks.
 */
const LINGER_MILLISECONDS = 2600;

/** Load balancers and scrapers that may be connected at a time. */
const MAXIMUM_READINESS_CONNECTIONS = 32;

function serveReadiness(
  address: Address,
  guard: ClientGuard,
  isReady: () => boolean,
): Promise<void> {
  const server = createServer((request, response) => {
    request.resume();
    response.writeHead(isReady() ? 200 : 503, { 'content-length': 0 });
    response.end();
  });
  guard.guard(server, { maximumConnections: MAXIMUM_READINESS_CONNECTIONS });
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(address.port, address.host, () => resolve());
  });
}

/** Runs until a signal ends the process. */
export async function startDirectEntry(adapters: EntryAdapters): Promise<void> {
  const life = beginLife('entry');
  const { logger } = life;
  const settings = life.settings();
  const random = createRandom(Math.floor(Math.random() * 0x7fffffff));
  const startedAt = monotonicClock();
  const catalog = createCatalog();
  const ledger = createServerLoadTracker(monotonicClock);
  const liveness = createServerLiveness(monotonicClock, logger);
  const serverMemory = createServerMemory();
  const groupHealth = createGroupHealth(monotonicClock, logger);
  const groupPasses = createGroupPassMeter(monotonicClock);
  const metrics = createMetrics();
  let isStopping = false;
  const pulse = createEventActivity(monotonicClock);

  const entryCountPeak = createEntryCountPeak(monotonicClock);

  function estimateEntries(knownEntries: number): number {
    entryCountPeak.observe(knownEntries);
    return estimateEntryCount({
      knownEntries,
      backendServers: catalog.servers().servers.size,
      sinceStartMilliseconds: monotonicClock() - startedAt,
    });
  }

  const sendingEntries = (): SendingEntries => {
    const names = fleet.entryIds();
    const count = estimateEntries(names.length);
    const isComplete = knowsAllEntries(
      {
        knownEntries: names.length,
        sinceStartMilliseconds: monotonicClock() - startedAt,
      },
      entryCountPeak.highest(),
    );
    return { own: settings.instanceId, names, count, isComplete };
  };
  const rateLimits = createServerRateLimits({
    logger,
    entries: sendingEntries,
    onChange: () => fleet.expediteDigests(),
    now: monotonicClock,
  });
  const backoffs = createServerBackoffs(monotonicClock, logger);
  const departures = createServerDepartures(monotonicClock, logger);
  const crashLedger = createCrashLedger({
    logger,
    onChange() {
      fleet.expediteDigests();
      quarantineSync.onLedgerChange();
    },
    onQuarantine: (cause) => serverEnds.cancelWith(cause),
    now: monotonicClock,
  });
  function announceCrashes(): void {
    const crashes = crashLedger.takeUnannounced();
    if (crashes !== undefined) fleet.announceCrashes(encodeCrashStatements(crashes));
  }

  const serverEnds = createServerEndDetector({
    logger,
    probe: probeConnection,
    onServerEnd({ process, endedAt, suspects, requests, isSilent }) {
      const crash = { server: process, endedAt, suspects, requests, isSilent };
      crashLedger.recordCrash(crash);
      // Callers leave a silent server before their requests fail.
      if (isSilent) announceCrashes();
    },
    onProgress: (sharedParts) => crashLedger.recordAnswered(sharedParts),
    onAnswered: (digest) => crashLedger.recordRequestAnswered(digest),
    onContact: (process) => crashLedger.recordSurvivor(process),
    currentProcess: (listed) => crashLedger.currentProcess(listed),
    isRankSilent: (server) => liveness.isSilent(server),
    now: monotonicClock,
  });
  const statements = createServerStatements({ rateLimits, backoffs, departures });
  const accountShares = createAccountShares({
    availabilityZone: settings.availabilityZone,
    weightOf: createAccountWeights(catalog),
    onLimited: (limit) => logger.info('account limited', { ...limit }),
    now: monotonicClock,
  });
  const { fleet, start: startFleetLink } = startFleet({
    settings: () => life.settings(),
    catalog,
    ledger,
    liveness,
    serverMemory,
    groupHealth,
    rateLimits,
    crashLedger,
    accountShares,
    logger,
    metrics,
    random,
    fleetSize: estimateEntries,
    catalogSync: () => catalogSync,
  });
  const store = adapters.createStore({
    ...settings.storeAddress,
    timeoutMilliseconds: STORE_TIMEOUT_MILLISECONDS,
  });
  const quarantineSync = createQuarantineSync({
    ledger: crashLedger,
    store,
    logger,
    random,
    now: monotonicClock,
    isDelegate: () => fleet.isDelegate(),
  });
  const catalogSync: CatalogSync = createCatalogSync({
    catalog,
    store,
    tables: adapters.tables,
    logger,
    random,
    availabilityZone: settings.availabilityZone,
    now: monotonicClock,
    fetchCopy: (host, table, since) => fetchCopy(host, settings.peerPort, table, since),
    bounds: () => ({
      configuration: life.settings().configurationBoundMilliseconds,
      draining: life.settings().drainingBoundMilliseconds,
    }),
    livePeerHosts: () => fleet.liveHosts(),
    isDelegating: () => fleet.isDelegating(),
    role: () => fleet.readingRole(),
    onFreshnessChange: () => fleet.expediteDigests(),
  });

  const entries = (): number => sendingEntries().count;

  const coldShare = createColdStartShare(sendingEntries, monotonicClock, startedAt);
  catalog.onChange(() => {
    const { servers } = catalog.servers();
    for (const tracker of [
      ledger,
      liveness,
      pulse,
      groupPasses,
      serverMemory,
      pulse,
      coldShare,
      statements,
      serverEnds,
    ]) {
      tracker.keepOnly(servers);
    }
  });

  const retryShare = createRetryBudgetShare({
    bounds: () => ({
      ratio: life.settings().retryRatio,
      slack: life.settings().retrySlack,
      windowMilliseconds: life.settings().retryWindowMilliseconds,
    }),
    entries: () => planRetrySharers(entryCountPeak.highest(), catalog.servers().servers.size),
    logger,
    startedAt,
    now: monotonicClock,
  });

  const groupLoads = createGroupLoads({
    catalog,
    ledger,
    groupHealth,
    entries,
    now: monotonicClock,
  });
  const groupConcurrency = createGroupConcurrency({
    now: monotonicClock,
    streamsIn: (group) => groupLoads.find(group)?.streams,
  });

  const contentionCounts = createContentionCounts();

  const hedges = createHedgeBudget({
    limit: () => life.settings().hedgeLimit,
    now: monotonicClock,
  });
  const callerBacklog = createCallerBacklog({
    limits: planBacklogLimits(getHeapStatistics().heap_size_limit),
    logger,
    now: monotonicClock,
  });

  const inFlight = createInFlightRequests(monotonicClock);
  const guard = createClientGuard({
    limits: planClientLimits(determineMachineSize(settings)),
    logger,
    now: monotonicClock,
  });

  registerEntryMetrics(metrics, {
    inFlight,
    rateLimits,
    backoffs,
    departures,
    liveness,
    serverEnds,
    crashLedger,
    groupPasses,
    retryShare,
    accountShares,
    contentionCounts,
    hedges,
    callerBacklog,
    guard,
    unlistedServers: () => catalogSync.unlistedServers(),
  });

  const context: ForwardContext = {
    metrics,
    protocol: adapters.protocol,
    catalog,
    ledger,
    liveness,
    serverMemory,
    retryShare,
    hedges,
    coldShare,
    statements,
    serverEnds,
    crashLedger,
    announceCrashes,
    arrivals: createArrivalMeter(monotonicClock),
    accountShares,
    entries,
    pulse,
    responseBuffers: createResponseBuffers(),
    responseTimes: createResponseTimes(),
    shutdown: createEntryShutdown(monotonicClock),
    callerBacklog,
    groupHealth,
    groupLoads,
    groupConcurrency,
    contentionCounts,
    groupPasses,
    workEstimator: createWorkEstimator(),
    logger,
    ownZone: settings.availabilityZone,
    now: monotonicClock,
    random,
  };

  const listener =
    settings.callerAddress === undefined
      ? undefined
      : createCallerListener({
          ...settings.callerAddress,
          context,
          inFlight,
          guard,
          isOutdated: () => catalogSync.isOutdated(),
          shutdownDelayMilliseconds: LINGER_MILLISECONDS,
        });

  const metricsServer = startMetricsListener(
    metrics,
    settings.host,
    settings.metricsPort,
    (error) => {
      logger.warn('metrics not served', { reason: error.message });
    },
  );
  guard.guard(metricsServer, { maximumConnections: MAXIMUM_READINESS_CONNECTIONS });
  const isReady = (): boolean => !isStopping && catalog.operatorState().configuration !== undefined;
  try {
    const { readinessAddress } = settings;
    if (readinessAddress !== undefined) await serveReadiness(readinessAddress, guard, isReady);
    await startFleetLink();
    startInstanceListener({
      host: settings.host,
      port: settings.peerPort,
      logger,
      guard,
      respondWithCopy: catalogSync.respondWithCopy,
    });
    catalogSync.start();
    quarantineSync.start();
    await listener?.start();
  } catch (thrown) {
    await endUnstarted(life, thrown);
  }

  endOnSignal(life, {
    async stop(endsAt) {
      isStopping = true;
      await listener?.stop(endsAt);
    },
    log: () => listener?.logShutdown(),
  });
}
