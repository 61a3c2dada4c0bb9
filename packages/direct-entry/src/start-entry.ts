/**
 * The entry program: takes callers' requests and forwards them to backend servers.
 */
import { createServer } from 'node:http';

import { createCatalog } from '@lapisbridge/catalog';
import {
  createArrivalMeter,
  createCallerListener,
  createColdShare,
  createGroupHealth,
  createPulse,
  createRetryShare,
  createServerLedger,
} from '@lapisbridge/forwarding';
import type { ForwardContext } from '@lapisbridge/forwarding';
import type { Address } from '@lapisbridge/json-call';
import { createRandom, monotonicClock } from '@lapisbridge/kernel';
import { createMetrics, startMetricsListener } from '@lapisbridge/metrics';
import { PeerRole } from '@lapisbridge/peers';
import type { Peers } from '@lapisbridge/peers';
import { beginLife, endOnSignal, endUnstarted } from '@lapisbridge/process-life';

import type { EntryAdapters } from './adapters.js';
import { createEntryPeers, livingInZone } from './entry-peers.js';
import { createKnowledge } from './knowledge.js';
import type { Knowledge } from './knowledge.js';
import { planEntries } from './plan-entries.js';

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

/** Runs until a signal ends the process. */
export async function startDirectEntry(adapters: EntryAdapters): Promise<void> {
  const life = beginLife('entry');
  const { logger } = life;
  const settings = life.settings();
  const random = createRandom(Math.floor(Math.random() * 0x7fffffff));
  const startedAt = monotonicClock();
  const catalog = createCatalog();
  const ledger = createServerLedger(monotonicClock);
  const groupHealth = createGroupHealth(monotonicClock, logger);
  const metrics = createMetrics();
  let isStopping = false;
  const pulse = createPulse(monotonicClock);

  const peers: Peers = createEntryPeers({
    settings: () => life.settings(),
    catalog,
    ledger,
    groupHealth,
    logger,
    random,
    knowledge: () => knowledge,
  });
  const knowledge: Knowledge = createKnowledge({
    instanceId: settings.instanceId,
    catalog,
    store: adapters.createStore({
      ...settings.storeAddress,
      timeoutMilliseconds: STORE_MILLISECONDS,
    }),
    tables: adapters.tables,
    logger,
    random,
    host: settings.host,
    port: settings.peerPort,
    peerHosts: () => peers.live(PeerRole.Entry).map(({ name }) => name.host),
    living: () => ({
      inZone: livingInZone(peers, settings.availabilityZone).map(({ instanceId }) => instanceId),
      count: peers.live(PeerRole.Entry).length,
    }),
    onNews() {
      for (const name of livingInZone(peers, settings.availabilityZone)) peers.tell(name);
    },
  });

  function entries(): number {
    return planEntries({
      known: peers.countOf(PeerRole.Entry),
      servers: catalog.servers().servers.size,
      sinceStartMilliseconds: monotonicClock() - startedAt,
    });
  }

  const coldShare = createColdShare(
    () => ({
      own: settings.instanceId,
      names: peers.names(PeerRole.Entry),
      count: entries(),
    }),
    monotonicClock,
  );
  catalog.onChange(() => {
    const { servers } = catalog.servers();
    for (const memory of [ledger, pulse, coldShare]) memory.keepOnly(servers);
  });

  const context: ForwardContext = {
    metrics,
    protocol: adapters.protocol,
    catalog,
    ledger,
    retryShare: createRetryShare(
      () => ({
        ratio: life.settings().retryRatio,
        slack: life.settings().retrySlack,
        windowMilliseconds: life.settings().retryWindowMilliseconds,
      }),
      entries,
      monotonicClock,
    ),
    coldShare,
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
          lingerMilliseconds: LINGER_MILLISECONDS,
        });

  startMetricsListener(metrics, settings.host, settings.metricsPort, (error) => {
    logger.warn('metrics not served', { reason: error.message });
  });
  const isReady = (): boolean => !isStopping && catalog.operators().configuration !== undefined;
  try {
    const { readinessAddress } = settings;
    if (readinessAddress !== undefined) await serveReadiness(readinessAddress, isReady);
    await peers.start();
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
