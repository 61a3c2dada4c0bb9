/**
 * The entry: takes callers' requests, chooses backend servers, relays and repairs answers,
 * and serves operators. It keeps nothing that its loss would lose for good.
 */
import type { EntrySettings } from '@lapisbridge/config';
import { createInstance } from '@lapisbridge/instance';
import { monotonicClock, sleep } from '@lapisbridge/kernel';
import { createStoreWatcher } from '@lapisbridge/platform';
import { createRetryBudget } from '@lapisbridge/routing';
import { MessageKind } from '@lapisbridge/wire';
import type { Channel, Message } from '@lapisbridge/wire';

import { createMetrics } from '@lapisbridge/metrics';
import { createAccounts } from './accounts.js';
import { createBackendPool } from './backend-pool.js';
import type { BackendPool } from './backend-pool.js';
import { createCallOutcomes } from './call-outcome.js';
import type { CallContext } from './call-types.js';
import { createCallerApi } from './caller-api.js';
import { createHedgeTimer } from './hedge-timer.js';
import { createHttpListener } from './http-listener.js';
import { createInFlightLimits } from './in-flight-limits.js';
import { createOperatorApi } from './operator-api.js';

export interface Entry {
  start(): Promise<void>;
  /** Turns not-ready, lets answers in progress finish, stops. */
  stop(): Promise<void>;
}

const DEFAULT_RETRY_RATIO = 0.1;
const DEFAULT_SUBSET = 24;
/** Time for the platform's balancer to see that this entry is not ready. */
const NOTICE_MILLISECONDS = 1500;

export function createEntry(settings: EntrySettings): Entry {
  let stopping = false;
  let listedLeaving = false;

  const instance = createInstance(settings, {
    onMessage,
    onChannelClose: () => undefined,
    onMemberChange: () => undefined,
    onOwnLeaving() {
      listedLeaving = true;
    },
  });
  const { kernel, logger, platform, self, state } = instance;

  function onMessage(message: Message, channel: Channel): void {
    if (message.kind !== MessageKind.ExplainRequest) return;
    const decisions = JSON.stringify(logger.decisionsAbout(message.subject));
    channel.send({ kind: MessageKind.ExplainReply, decisions });
  }

  function isReady(): boolean {
    const drained = state.isDrained(self.instanceId, self.availabilityZone);
    return !stopping && !listedLeaving && !drained && state.configuration !== undefined;
  }

  const pool: BackendPool = createBackendPool({
    instance,
    subsetSize: () => state.configuration?.document.routing.subsetSize ?? DEFAULT_SUBSET,
  });
  const storeWatcher = createStoreWatcher(platform.table, instance.random);
  const metrics = createMetrics();
  const inFlight = createInFlightLimits();
  const budget = createRetryBudget({
    ratio: () => state.configuration?.document.limits.retryBudgetRatio ?? DEFAULT_RETRY_RATIO,
    now: monotonicClock,
  });

  function createContext(): CallContext {
    let turn = 0;
    return {
      pool,
      logger,
      random: instance.random,
      budget,
      nextTurn() {
        turn += 1;
        return turn;
      },
      entryId: self.instanceId,
      ownZone: self.availabilityZone,
      outcomes: createCallOutcomes(platform, pool, storeWatcher),
      hedgeTimer: createHedgeTimer(),
    };
  }

  const callers = createHttpListener(
    settings.listen.host,
    settings.listen.callerPort,
    settings.transportSecurity,
    createCallerApi({
      instance,
      accounts: createAccounts(self.environment, state, instance.store),
      inFlight,
      metrics,
      context: createContext(),
      isReady,
    }),
  );
  const operators = createHttpListener(
    settings.listen.host,
    settings.listen.operatorPort,
    settings.transportSecurity,
    createOperatorApi({
      instance,
      operatorTokenHash: settings.operatorTokenHash,
      servers: () => pool.servers(),
      isReady,
    }),
  );

  const { traffic } = instance.membership;
  metrics.gauge(
    'lapisbridge_in_flight_requests',
    'Requests in progress here.',
    () => inFlight.requests,
  );
  metrics.gauge('lapisbridge_backend_connections', 'Connections to sidecars.', () =>
    pool.connections(),
  );
  metrics.gauge(
    'lapisbridge_configuration_version',
    'Version in force here.',
    () => state.configuration?.version ?? 0,
  );
  metrics.gauge('lapisbridge_gossip_sent_bytes', 'Gossip bytes sent.', () => traffic.sentBytes);
  metrics.gauge(
    'lapisbridge_gossip_received_bytes',
    'Gossip bytes received.',
    () => traffic.receivedBytes,
  );

  kernel.register('backendPool', pool);
  kernel.register('storeWatcher', { stop: () => storeWatcher.stop() });
  kernel.register('callers', { start: () => callers.start() });
  kernel.register('operators', operators);

  return {
    async start() {
      await kernel.start();
      logger.info('started', { role: settings.role, ...settings.listen });
    },
    async stop() {
      stopping = true;
      logger.info('stopping');
      instance.membership.announceLeaving();
      await sleep(NOTICE_MILLISECONDS);
      await callers.stop();
      await kernel.stop();
      logger.info('stopped');
    },
  };
}
