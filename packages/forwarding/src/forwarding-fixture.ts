/**
 * Runs an entry's forwarding core with scripted backend servers on the loopback address, for
 * tests.
 */
import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';

import { createClientGuard, planClientLimits } from '@lapisbridge/client-limits';
import { createCatalog, RequestKind } from '@lapisbridge/catalog';
import type {
  BackendServer,
  Catalog,
  ClientAccount,
  Configuration,
  GroupRank,
  Route,
} from '@lapisbridge/catalog';
import { createAccountShares, createGroupConcurrency } from '@lapisbridge/load-shedding';
import type { AccountShares } from '@lapisbridge/load-shedding';
import { createSilentLogger } from '@lapisbridge/logger';
import { createCrashLedger } from '@lapisbridge/crash-attribution';
import type { CrashLedger, CrashStatements } from '@lapisbridge/crash-attribution';
import { createHedgeBudget } from '@lapisbridge/hedging';
import type { HedgeBudget, HedgeLimit } from '@lapisbridge/hedging';
import type { Logger } from '@lapisbridge/logger';
import { createMetrics } from '@lapisbridge/metrics';
import { createWorkEstimator } from '@lapisbridge/work-estimate';
import type { WorkEstimator } from '@lapisbridge/work-estimate';

import { createCallerBacklog } from './caller-backlog.js';
import type { CallerBacklog } from './caller-backlog.js';
import { createCallerListener } from './caller-listener.js';
import { createColdStartShare } from './cold-start-share.js';
import type { ForwardContext } from './forward-context.js';
import { probeConnection } from './connection-probe.js';
import { fixtureProtocol } from './fixture-protocol.js';
import { createContentionCounts } from './contention-counts.js';
import { createGroupHealth } from './group-health.js';
import { createGroupLoads } from './group-loads.js';
import { createGroupPassMeter } from './group-pass-meter.js';
import { createInFlightRequests } from './in-flight-requests.js';
import type { GroupHealth } from './group-health.js';
import { createArrivalMeter } from './arrival-meter.js';
import { createEntryShutdown } from './entry-shutdown.js';
import { createEventActivity } from './event-activity.js';
import { planBacklogLimits } from './plan-backlog-cut.js';
import type { BacklogLimits } from './plan-backlog-cut.js';
import { createResponseBuffers } from './response-buffers.js';
import { createResponseTimes } from './response-times.js';
import { createRetryBudgetShare } from './retry-budget-share.js';
import type { SendingEntries } from './sender-rank.js';
import { createServerBackoffs } from './server-backoffs.js';
import { createServerDepartures } from './server-departures.js';
import { createServerEndDetector } from './server-end-detector.js';
import { createServerLoadTracker } from './server-load-tracker.js';
import type { ServerLoadTracker } from './server-load-tracker.js';
import { createServerLiveness } from './server-liveness.js';
import type { ServerLiveness } from './server-liveness.js';
import { createServerMemory } from './server-memory.js';
import type { ServerMemory } from './server-memory.js';
import { createServerRateLimits } from './server-rate-limits.js';
import { createServerStatements } from './server-statements.js';

/** Handles a request at a scripted backend server. */
export type BackendHandler = (incoming: IncomingMessage, response: ServerResponse) => void;

export interface ReceivedRequest {
  readonly instanceId: string;
  readonly headers: IncomingMessage['headers'];
  readonly body: string;
}

export interface Fixture {
  readonly port: number;
  readonly arrivals: readonly ReceivedRequest[];
  readonly catalog: Catalog;
  readonly isStuck: { value: boolean };
  readonly groupHealth: GroupHealth;
  readonly crashLedger: CrashLedger;
  readonly accountShares: AccountShares;
  readonly liveness: ServerLiveness;
  readonly workEstimator: WorkEstimator;
  readonly ledger: ServerLoadTracker;
  readonly hedges: HedgeBudget;
  readonly callerBacklog: CallerBacklog;
  readonly serverMemory: ServerMemory;
  /** Records the decisions about each request. */
  readonly logger: Logger;
  /** What was announced to other entries. */
  readonly announcements: readonly CrashStatements[];
  /**
   * Shuts the entry down as if its process ended after so many milliseconds; resolves when all
   * connections of callers are closed.
   */
  shutDown(milliseconds: number): Promise<void>;
  /** Ends the process of a backend server: it closes its connections and refuses new ones. */
  end(instanceId: string): void;
  close(): Promise<void>;
}

export interface FixtureOptions {
  /** By instance id; `undefined` makes a server that refuses connections. */
  readonly servers: Readonly<Record<string, BackendHandler | undefined>>;
  readonly route?: Partial<Route>;
  readonly withConfiguration?: boolean;
  readonly retrySlack?: number;
  /** Limit on duplicates of late requests; none when omitted. */
  readonly hedgeLimit?: HedgeLimit;
  /**
   * Requests per second that each cold server can serve, over all entries; unlimited when omitted.
   */
  readonly coldRequestsPerSecond?: number;
  readonly sendingEntries?: SendingEntries;
  readonly backlogLimits?: BacklogLimits;
  /** Ranks of lock-step groups, by instance id. */
  readonly groups?: Readonly<Record<string, GroupRank>>;
  readonly accountsByKey?: ReadonlyMap<string, ClientAccount>;
}

const HOST = '127.0.0.1';
const MACHINE = { memoryBytes: 350e6, maximumDescriptors: 4200, heapBytes: 100 * 1024 * 1024 };
const SERVICE = 'service';

const ROUTE: Route = {
  name: 'route',
  host: 'host',
  prefix: '/',
  kind: RequestKind.AtMostOnce,
  timeoutMilliseconds: 3000,
  latencyObjectiveMilliseconds: 400,
  eventGapObjectiveMilliseconds: 0,
  priority: 1,
  targets: [{ service: SERVICE, weight: 1 }],
  maximumAttempts: 2,
  isPublic: true,
  resumable: false,
};

function configurationWith(route: Route, coldRequestsPerSecond: number): Configuration {
  return {
    version: 1,
    routes: [route],
    services: new Map([
      [
        SERVICE,
        {
          name: SERVICE,
          maximumConnections: 100,
          coldRequestsPerSecond,
          engine: undefined,
        },
      ],
    ]),
    accountsByKey: undefined,
    limits: {
      maximumBodyBytes: 1000,
      headerTimeoutMilliseconds: 3000,
      idleTimeoutMilliseconds: 15_000,
    },
  };
}

async function listen(server: Server): Promise<number> {
  await new Promise<void>((resolve) => {
    server.listen(0, HOST, resolve);
  });
  return (server.address() as AddressInfo).port;
}

async function freePort(): Promise<number> {
  const server = createServer();
  const port = await listen(server);
  await new Promise((resolve) => {
    server.close(resolve);
  });
  return port;
}

function readText(incoming: IncomingMessage): Promise<string> {
  return new Promise((resolve) => {
    let text = '';
    incoming.on('data', (chunk: Buffer) => {
      text += chunk.toString();
    });
    incoming.on('end', () => resolve(text));
  });
}

/** The entry has run for a while, so that it has earned retries. */
const ENTRY_AGE_MILLISECONDS = 60_000;
const GRACE_MILLISECONDS = 7500;
const SINGLE_ENTRY: SendingEntries = { own: 'entry', names: ['entry'], count: 1 };

export async function startFixture(options: FixtureOptions): Promise<Fixture> {
  const arrivals: ReceivedRequest[] = [];
  const announcements: CrashStatements[] = [];
  const running: Server[] = [];
  const serversById = new Map<string, Server>();
  const sockets = new Set<Socket>();
  const servers = new Map<string, BackendServer>();
  for (const [instanceId, handler] of Object.entries(options.servers)) {
    let port: number;
    if (handler === undefined) {
      port = await freePort();
    } else {
      const server = createServer((incoming, response) => {
        void readText(incoming).then((body) => {
          arrivals.push({ instanceId, headers: incoming.headers, body });
          handler(incoming, response);
        });
      });
      server.on('connection', (socket) => sockets.add(socket));
      port = await listen(server);
      running.push(server);
      serversById.set(instanceId, server);
    }
    servers.set(instanceId, {
      instanceId,
      service: SERVICE,
      host: HOST,
      port,
      availabilityZone: 'zone',
      slots: 4,
      draining: false,
      groupRank: options.groups?.[instanceId],
      startedAt: undefined,
    });
  }
  const catalog = createCatalog();
  catalog.replaceServers({ revision: 1, servers });
  if (options.withConfiguration !== false) {
    catalog.replaceOperatorState({
      revision: 1,
      configuration: {
        ...configurationWith({ ...ROUTE, ...options.route }, options.coldRequestsPerSecond ?? 0),
        accountsByKey: options.accountsByKey,
      },
      drainedZones: new Set(),
    });
  }
  const now = (): number => performance.now();
  const logger = createSilentLogger();
  const isStuck = { value: false };
  const groupHealth = createGroupHealth(now, logger);
  const liveness = createServerLiveness(now, logger);
  liveness.keepOnly(servers);
  const crashLedger = createCrashLedger({
    logger,
    onChange: () => undefined,
    onQuarantine: (part) => serverEnds.cancelWith(part),
    now,
  });
  const serverEnds = createServerEndDetector({
    logger,
    probe: probeConnection,
    onServerEnd({ process, endedAt, suspects, requests, isSilent }) {
      const crash = { server: process, endedAt, suspects, requests, isSilent };
      crashLedger.recordCrash(crash);
    },
    onProgress: (sharedParts) => crashLedger.recordAnswered(sharedParts),
    onAnswered: (digest) => crashLedger.recordRequestAnswered(digest),
    onContact: (process) => crashLedger.recordSurvivor(process),
    currentProcess: (listed) => crashLedger.currentProcess(listed),
    isRankSilent: (server) => liveness.isSilent(server),
    now,
  });
  const ledger = createServerLoadTracker(now);
  const groupLoads = createGroupLoads({
    catalog,
    ledger,
    groupHealth,
    entries: () => 1,
    now,
  });
  const workEstimator = createWorkEstimator();
  const accountShares = createAccountShares({
    availabilityZone: 'zone',
    weightOf: () => 1,
    onLimited: () => undefined,
    now,
  });
  const hedges = createHedgeBudget({ limit: () => options.hedgeLimit, now });
  const serverMemory = createServerMemory();
  const callerBacklog = createCallerBacklog({
    limits: options.backlogLimits ?? planBacklogLimits(0),
    logger,
    now,
  });
  const context: ForwardContext = {
    protocol: fixtureProtocol,
    catalog,
    ledger,
    hedges,
    liveness,
    retryShare: createRetryBudgetShare({
      bounds: () => ({ ratio: 0, slack: options.retrySlack ?? 100, windowMilliseconds: 10_000 }),
      entries: () => 1,
      logger,
      startedAt: now() - ENTRY_AGE_MILLISECONDS,
      now,
    }),
    coldShare: createColdStartShare(() => options.sendingEntries ?? SINGLE_ENTRY, now),
    statements: createServerStatements({
      rateLimits: createServerRateLimits({
        logger,
        entries: () => options.sendingEntries ?? SINGLE_ENTRY,
        onChange: () => undefined,
        now,
      }),
      backoffs: createServerBackoffs(now, logger),
      departures: createServerDepartures(now, logger),
    }),
    serverEnds,
    crashLedger,
    announceCrashes() {
      const announced = crashLedger.takeUnannounced();
      if (announced !== undefined) announcements.push(announced);
    },
    arrivals: createArrivalMeter(now),
    accountShares,
    entries: () => 1,
    responseBuffers: createResponseBuffers(),
    responseTimes: createResponseTimes(),
    shutdown: createEntryShutdown(now),
    callerBacklog,
    serverMemory,
    pulse: { ...createEventActivity(now), isStalled: () => isStuck.value },
    logger,
    metrics: createMetrics(),
    ownZone: 'zone',
    now,
    // Without randomness, servers are chosen in the order of their names.
    random: () => 0,
    groupHealth,
    groupLoads,
    contentionCounts: createContentionCounts(),
    groupConcurrency: createGroupConcurrency({
      now,
      streamsIn: (group) => groupLoads.find(group)?.streams,
    }),
    groupPasses: createGroupPassMeter(now),
    workEstimator,
  };
  const port = await freePort();
  const listener = createCallerListener({
    host: HOST,
    port,
    context,
    inFlight: createInFlightRequests(now),
    guard: createClientGuard({ limits: planClientLimits(MACHINE), logger, now }),
    isOutdated: () => false,
    shutdownDelayMilliseconds: 0,
  });
  await listener.start();
  return {
    port,
    arrivals,
    announcements,
    catalog,
    isStuck,
    groupHealth,
    crashLedger,
    accountShares,
    liveness,
    workEstimator,
    ledger,
    hedges,
    callerBacklog,
    serverMemory,
    logger,
    shutDown: (milliseconds) => listener.stop(now() + milliseconds),
    end(instanceId) {
      const ended = serversById.get(instanceId);
      ended?.close();
      ended?.closeAllConnections();
    },
    async close() {
      for (const socket of sockets) socket.destroy();
      for (const server of running) server.close();
      await listener.stop(now() + GRACE_MILLISECONDS);
    },
  };
}

/** Sends a complete response. */
export function respondWith(text: string, status = 200): BackendHandler {
  return (incoming, response) => {
    response.writeHead(status, {
      'request-id': String(incoming.headers['request-id']),
      signature: 'signed',
      'content-length': Buffer.byteLength(text),
    });
    response.end(text);
  };
}

/** Responds later than is expected of a server whose latency is not known yet. */
export function withDelay(handler: BackendHandler): BackendHandler {
  return (incoming, response) => void setTimeout(() => handler(incoming, response), 80);
}

/** Refuses the request and states that it did not run. */
export const refuseRequest: BackendHandler = (incoming, response) => {
  response.writeHead(503, {
    'request-id': String(incoming.headers['request-id']),
    'not-run': '1',
    'content-length': 0,
  });
  response.end();
};

/** Sends a complete response that announces the shutdown of the server. */
export const respondLeaving: BackendHandler = (incoming, response) => {
  response.writeHead(200, {
    'request-id': String(incoming.headers['request-id']),
    signature: 'signed',
    leaving: '1',
    'content-length': 0,
  });
  response.end();
};

/** Accepts the request and closes the connection without a response. */
export const dropConnection: BackendHandler = (incoming) => {
  incoming.socket.destroy();
};

/**
 * Streams the events up to `last`, starting after the last event that the caller received. With
 * `interruptedAfter`, closes the connection in the middle of the event after that one.
 */
export function streamEvents(last: number, interruptedAfter?: number): BackendHandler {
  return (incoming, response) => {
    const from = Number(incoming.headers['last-event'] ?? 0) + 1;
    response.writeHead(200, {
      'request-id': String(incoming.headers['request-id']),
      signature: 'signed',
      'content-type': 'text/event-stream',
    });
    for (let id = from; id <= last; id += 1) {
      if (interruptedAfter !== undefined && id > interruptedAfter) {
        response.write(`id: ${id}\ndata: ha`, () => incoming.socket.destroy());
        return;
      }
      response.write(`id: ${id}\ndata: ${id}\n\n`);
    }
    response.end();
  };
}
