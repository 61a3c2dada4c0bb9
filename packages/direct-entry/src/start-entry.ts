/**
 * The entry program: takes callers' requests and forwards them to backend servers.
 */
import { createServer } from 'node:http';

import { createCatalog } from '@lapisbridge/catalog';
import {
  createArrivalMeter,
  createCallerListener,
  createColdStartShare,
  createGroupHealth,
  createEventActivity,
  createRetryBudgetShare,
  createServerBackoffs,
  createServerDepartures,
  createServerLoadTracker,
  createServerLiveness,
  createServerRateLimits,
  createServerStatements,
} from '@lapisbridge/forwarding';
import type { ForwardContext, SendingEntries, ActiveStatement } from '@lapisbridge/forwarding';
import type { Address } from '@lapisbridge/json-call';
import { createRandom, monotonicClock } from '@lapisbridge/kernel';
import { createMetrics, startMetricsListener } from '@lapisbridge/metrics';
import { beginLife, endOnSignal, endUnstarted } from '@lapisbridge/process-life';

import type { EntryAdapters } from './adapters.js';
import { fetchCopy } from './copy-exchange.js';
import { startInstanceListener } from './instance-listener.js';
import { createKnowledge } from './knowledge.js';
import type { Knowledge } from './knowledge.js';
import { planEntries } from './plan-entries.js';
import { startFleet } from './start-fleet.js';

/** Longest wait for an answer of the store, beyond the wait that was asked for. */
const STORE_MILLISECONDS = 700;
/** The balancer takes an instance out after two missed checks, one a second. */
const LINGER_MILLISECONDS = 2600;

function serveReadiness(address: Address, isReady: () => boolean): Promise<void> {
  const server = createServer((request, response) => {
    request.resume();
    response.writeHead(isReady() ? 200 : 503, { 'content-length': 0 });
    response.end();
  });
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(address.port, address.host, () => resolve());
  });
}

function secondsByServer(statements: readonly ActiveStatement[]): ReadonlyMap<string, number> {
  return new Map(
    statements.map(({ instanceId, ageMilliseconds }) => [instanceId, ageMilliseconds / 1000]),
  );
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
  const groupHealth = createGroupHealth(monotonicClock, logger);
  const metrics = createMetrics();
  let isStopping = false;
  const pulse = createEventActivity(monotonicClock);

  function entriesOf(known: number): number {
    return planEntries({
      known,
      servers: catalog.servers().servers.size,
      sinceStartMilliseconds: monotonicClock() - startedAt,
    });
  }

  const sendingEntries = (): SendingEntries => {
    const names = fleet.entryIds();
    return { own: settings.instanceId, names, count: entriesOf(names.length) };
  };
  const rateLimits = createServerRateLimits({
    logger,
    entries: sendingEntries,
    onChange: () => fleet.expediteDigests(),
    now: monotonicClock,
  });
  const backoffs = createServerBackoffs(monotonicClock, logger);
  const departures = createServerDepartures(monotonicClock, logger);
  const statements = createServerStatements({ rateLimits, backoffs, departures });
  const { fleet, start: startFleetLink } = startFleet({
    settings: () => life.settings(),
    catalog,
    ledger,
    liveness,
    groupHealth,
    rateLimits,
    logger,
    metrics,
    random,
    fleetSize: entriesOf,
    knowledge: () => knowledge,
  });
  const knowledge: Knowledge = createKnowledge({
    catalog,
    store: adapters.createStore({
      ...settings.storeAddress,
      timeoutMilliseconds: STORE_MILLISECONDS,
    }),
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
    livingHosts: () => fleet.liveHosts(),
    isDelegating: () => fleet.isDelegating(),
    role: () => fleet.readingRole(),
    onNews: () => fleet.expediteDigests(),
  });

  const entries = (): number => sendingEntries().count;

  const coldShare = createColdStartShare(sendingEntries, monotonicClock);
  catalog.onChange(() => {
    const { servers } = catalog.servers();
    for (const memory of [ledger, liveness, pulse, coldShare, statements]) {
      memory.keepOnly(servers);
    }
  });

  metrics.gauge(
    'lapisbridge_rate_limited_servers',
    'Backend servers that state a rate limit.',
    () => rateLimits.limitedServerCount(),
  );
  metrics.gauge(
    'lapisbridge_silent_servers',
    'Backend servers that are silent while most of their service are not.',
    () => liveness.silentServerCount(),
  );
  metrics.gauge(
    'lapisbridge_rate_limited_requests_sent_total',
    'Requests sent to backend servers while they state a rate limit.',
    () => rateLimits.requestsSent(),
  );

  metrics.serverGauge(
    'lapisbridge_server_backoff_seconds',
    'Time since a backend server that backs off asked for it.',
    () => secondsByServer(backoffs.listActive()),
  );
  metrics.serverGauge(
    'lapisbridge_server_leaving_seconds',
    'Time since a backend server first stated that it leaves.',
    () => secondsByServer(departures.list()),
  );
  metrics.gauge(
    'lapisbridge_backoff_requests_sent_total',
    'Requests sent to backend servers while they back off.',
    () => backoffs.requestsSent(),
  );

  const context: ForwardContext = {
    metrics,
    protocol: adapters.protocol,
    catalog,
    ledger,
    liveness,
    retryShare: createRetryBudgetShare(
      () => ({
        ratio: life.settings().retryRatio,
        slack: life.settings().retrySlack,
        windowMilliseconds: life.settings().retryWindowMilliseconds,
      }),
      entries,
      monotonicClock,
    ),
    coldShare,
    statements,
    arrivals: createArrivalMeter(monotonicClock),
    entries,
    pulse,
    groupHealth,
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
          isOutdated: () => knowledge.isOutdated(),
          shutdownDelayMilliseconds: LINGER_MILLISECONDS,
        });

  startMetricsListener(metrics, settings.host, settings.metricsPort, (error) => {
    logger.warn('metrics not served', { reason: error.message });
  });
  const isReady = (): boolean => !isStopping && catalog.operators().configuration !== undefined;
  try {
    const { readinessAddress } = settings;
    if (readinessAddress !== undefined) await serveReadiness(readinessAddress, isReady);
    await startFleetLink();
    startInstanceListener({
      host: settings.host,
      port: settings.peerPort,
      logger,
      respondWithCopy: knowledge.respondWithCopy,
    });
    knowledge.start();
    await listener?.start();
  } catch (thrown) {
    await endUnstarted(life, thrown);
  }

  endOnSignal(life, async () => {
    isStopping = true;
    await listener?.stop();
  });
}
