/**
 * The entry: takes callers' requests, chooses backend servers, relays and repairs answers,
 * and serves operators. It keeps nothing that its loss would lose for good.
 */
import {
  createClientGuard,
  determineMachineSize,
  planClientLimits,
  registerClientMetrics,
} from '@lapisbridge/client-limits';
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
import { createStopDeadline } from './stop-deadline.js';

export interface Entry {
  start(): Promise<void>;
  /** Turns not-ready, lets answers in progress finish within the grace time, stops. */
  stop(): Promise<void>;
}

const DEFAULT_RETRY_RATIO = 0.1;
const DEFAULT_SUBSET = 24;
/** Time for the platform's balancer to see that this entry is not ready. */
const NOTICE_MILLISECONDS = 1500;
/** Kept back from the grace time, to end what is left and to say goodbye. */
const RESERVE_MILLISECONDS = 500;
const DEFAULT_MAXIMUM_TIMEOUT_MILLISECONDS = 600_000;
const MAXIMUM_OPERATOR_CONNECTIONS = 32;

export function createEntry(settings: EntrySettings): Entry {
  let started = false;
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
  const guard = createClientGuard({
    limits: planClientLimits(determineMachineSize(settings.machine ?? {})),
    logger,
    now: monotonicClock,
  });
  const stopDeadline = createStopDeadline(monotonicClock);
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

  const { host } = settings.listen;
  const { transportSecurity } = settings;
  const callers = createHttpListener({
    host,
    port: settings.listen.callerPort,
    transportSecurity,
    guard,
    handler: createCallerApi({
      instance,
      guard,
      accounts: createAccounts(self.environment, state, instance.store),
      inFlight,
      metrics,
      context: createContext(),
      stopDeadline,
      isReady,
    }),
  });
  const operators = createHttpListener({
    host,
    port: settings.listen.operatorPort,
    transportSecurity,
    guard,
    maximumConnections: MAXIMUM_OPERATOR_CONNECTIONS,
    handler: createOperatorApi({
      instance,
      guard,
      operatorTokenHash: settings.operatorTokenHash,
      servers: () => pool.servers(),
      isReady,
    }),
  });

  const { traffic } = instance.membership;
  metrics.gauge(
    'lapisbridge_in_flight_requests',
    'Requests in progress here.',
    () => inFlight.requests,
  );
  metrics.gauge('lapisbridge_backend_connections', 'Connections to sidecars.', () =>
    pool.connections(),
  );
  registerClientMetrics(metrics, guard);
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
  kernel.register('callers', {
    // Callers that connect to an entry that stops before it has started would not be served.
    start: () => (stopping ? undefined : callers.start()),
  });
  kernel.register('operators', {
    start: () => operators.start(),
    stop: () => operators.stop(stopDeadline.remaining()).then(() => undefined),
  });

  /** No request outlasts the longest timeout, so that is the bound where no grace time is set. */
  function maximumStopMilliseconds(): number {
    if (settings.graceMilliseconds !== undefined) {
      return settings.graceMilliseconds - RESERVE_MILLISECONDS;
    }
    const limits = state.configuration?.document.limits;
    return limits?.maximumTimeoutMilliseconds ?? DEFAULT_MAXIMUM_TIMEOUT_MILLISECONDS;
  }

  return {
    async start() {
      await kernel.start();
      if (stopping) return;
      started = true;
      logger.info('started', { role: settings.role, ...settings.listen });
    },
    async stop() {
      stopping = true;
      stopDeadline.begin(maximumStopMilliseconds());
      callers.beginDrain();
      operators.beginDrain();
      logger.info('stopping', {
        inFlight: inFlight.requests,
        milliseconds: stopDeadline.remaining(),
      });
      instance.membership.announceLeaving();
      if (started) await sleep(NOTICE_MILLISECONDS);
      stopDeadline.rejectLate();
      const unanswered = await callers.stop(stopDeadline.remaining());
      await kernel.stop();
      logger.info('stopped', { unanswered });
    },
  };
}
