/**
 * The sidecar program: reports the load of the backend server beside it to the entries, and manages
 * that server as a rank of its lock-step group.
 */
import type { Store } from '@lapisbridge/catalog';
import {
  createClientGuard,
  determineMachineSize,
  planClientLimits,
} from '@lapisbridge/client-limits';
import { queryLeader, createLeadership, startRelayListener } from '@lapisbridge/group-leader';
import type { RankAddress, RankEngine } from '@lapisbridge/group-leader';
import { createRandom, monotonicClock } from '@lapisbridge/kernel';
import { createMetrics, startMetricsListener } from '@lapisbridge/metrics';
import type { Metrics } from '@lapisbridge/metrics';
import { beginLife, endOnSignal, endUnstarted } from '@lapisbridge/process-life';

import { createRankMember } from './rank-member.js';
import type { RankMember } from './rank-member.js';

export interface SidecarAdapters {
  readonly engine: RankEngine;
  /** `timeoutMilliseconds` applies to each call. */
  createStore(options: RankAddress & { readonly timeoutMilliseconds: number }): Store;
}

const STORE_TIMEOUT_MILLISECONDS = 700;
/** Scrapers that may be connected at a time. */
const MAXIMUM_METRICS_CONNECTIONS = 32;

function registerMetrics(metrics: Metrics, member: RankMember, isLeading: () => boolean): void {
  metrics.gauge(
    'lapisbridge_group_epoch',
    'Epoch of the group; rises as it forms anew.',
    () => member.report()?.epoch ?? -1,
  );
  metrics.gauge(
    'lapisbridge_map_version',
    'Version of the map in force.',
    () => member.report()?.activeVersion ?? -1,
  );
  metrics.gauge('lapisbridge_leading', '1 while this sidecar leads its group.', () =>
    isLeading() ? 1 : 0,
  );
}

/** Runs until a signal ends the process. */
export async function startGroupSidecar(adapters: SidecarAdapters): Promise<void> {
  const life = beginLife('sidecar');
  const { logger } = life;
  const settings = life.settings();
  const { host, instanceId, peerPort, backendServerAddress } = settings;
  const random = createRandom(Math.floor(Math.random() * 0x7fffffff));
  const metrics = createMetrics();
  const guard = createClientGuard({
    limits: planClientLimits(determineMachineSize(settings)),
    logger,
    now: monotonicClock,
  });
  const metricsServer = startMetricsListener(metrics, host, settings.metricsPort, (error) => {
    logger.warn('metrics not served', { reason: error.message });
  });
  guard.guard(metricsServer, { maximumConnections: MAXIMUM_METRICS_CONNECTIONS });
  if (backendServerAddress === undefined) {
    logger.warn('sidecar has no backend server', { reason: 'the settings name no backend server' });
    endOnSignal(life, { stop: async () => undefined });
    return;
  }
  const leadership = createLeadership({
    store: adapters.createStore({
      ...settings.storeAddress,
      timeoutMilliseconds: STORE_TIMEOUT_MILLISECONDS,
    }),
    instanceId,
    host,
    queryLeader: (leaderHost) => queryLeader({ host: leaderHost, port: peerPort }),
    logger,
    now: monotonicClock,
    random,
  });
  const member = createRankMember({
    settings: () => life.settings(),
    backendServer: backendServerAddress,
    engine: adapters.engine,
    leadership,
    logger,
    now: monotonicClock,
    random,
  });
  startRelayListener({
    host,
    port: peerPort,
    guard,
    backendServer: backendServerAddress,
    engine: adapters.engine,
    logger,
    initialGroupMap: () => member.initialGroupMap(),
    acceptFencingNumber: (fencingNumber) => leadership.acceptFencingNumber(fencingNumber),
    ownFencingNumber: () => leadership.fencingNumber(),
  });
  registerMetrics(metrics, member, () => leadership.fencingNumber() !== undefined);
  metrics.datagrams(() => member.sentDatagrams());
  try {
    await member.start();
  } catch (thrown) {
    await endUnstarted(life, thrown);
  }
  endOnSignal(life, { stop: async () => member.stop() });
}
