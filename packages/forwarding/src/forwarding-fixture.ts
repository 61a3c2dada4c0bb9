/**
 * An entry's forwarding core with scripted backend servers on the loopback address, for tests.
 */
import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';

import { createCatalog, RequestKind } from '@lapisbridge/catalog';
import type { BackendServer, Catalog, Configuration, GroupRank, Route } from '@lapisbridge/catalog';
import { createSilentLogger } from '@lapisbridge/logger';
import type { Logger } from '@lapisbridge/logger';
import { createMetrics } from '@lapisbridge/metrics';

import { createCallerListener } from './caller-listener.js';
import { createColdShare } from './cold-share.js';
import type { ForwardContext } from './forward-context.js';
import { fixtureProtocol } from './fixture-protocol.js';
import { createGroupHealth } from './group-health.js';
import type { GroupHealth } from './group-health.js';
import { createArrivalMeter } from './arrival-meter.js';
import { createPulse } from './pulse.js';
import { createRetryShare } from './retry-share.js';
import type { SendingEntries } from './sender-rank.js';
import { createServerBackoffs } from './server-backoffs.js';
import { createServerDepartures } from './server-departures.js';
import { createServerLedger } from './server-ledger.js';
import { createServerLiveness } from './server-liveness.js';
import type { ServerLiveness } from './server-liveness.js';
import { createServerRateLimits } from './server-rate-limits.js';
import { createServerStatements } from './server-statements.js';

/** What one backend server does with a request. */
export type Script = (incoming: IncomingMessage, response: ServerResponse) => void;

export interface Arrival {
  readonly instanceId: string;
  readonly headers: IncomingMessage['headers'];
  readonly body: string;
}

export interface Fixture {
  readonly port: number;
  readonly arrivals: readonly Arrival[];
  readonly catalog: Catalog;
  readonly isStuck: { value: boolean };
  readonly groupHealth: GroupHealth;
  readonly liveness: ServerLiveness;
  /** Keeps the decisions about each request. */
  readonly logger: Logger;
  close(): Promise<void>;
}

export interface FixtureOptions {
  /** By instance id; `undefined` stands for a server that refuses connections. */
  readonly servers: Readonly<Record<string, Script | undefined>>;
  readonly route?: Partial<Route>;
  readonly withConfiguration?: boolean;
  readonly retrySlack?: number;
  /** Requests a second that each server bears while cold, over all entries; no bound without it. */
  readonly coldRate?: number;
  readonly sendingEntries?: SendingEntries;
  /** Ranks of lock-step groups, by instance id. */
  readonly groups?: Readonly<Record<string, GroupRank>>;
}

const HOST = '127.0.0.1';
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

function configurationWith(route: Route, coldRate: number): Configuration {
  return {
    version: 1,
    routes: [route],
    services: new Map([
      [
        SERVICE,
        {
          name: SERVICE,
          maximumConnections: 100,
          coldRequestsPerSecond: coldRate,
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

const ALONE: SendingEntries = { own: 'entry', names: ['entry'], count: 1 };

export async function startFixture(options: FixtureOptions): Promise<Fixture> {
  const arrivals: Arrival[] = [];
  const running: Server[] = [];
  const sockets = new Set<Socket>();
  const servers = new Map<string, BackendServer>();
  for (const [instanceId, script] of Object.entries(options.servers)) {
    let port: number;
    if (script === undefined) {
      port = await freePort();
    } else {
      const server = createServer((incoming, response) => {
        void readText(incoming).then((body) => {
          arrivals.push({ instanceId, headers: incoming.headers, body });
          script(incoming, response);
        });
      });
      server.on('connection', (socket) => sockets.add(socket));
      port = await listen(server);
      running.push(server);
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
      configuration: configurationWith({ ...ROUTE, ...options.route }, options.coldRate ?? 0),
      drainedZones: new Set(),
    });
  }
  const now = (): number => performance.now();
  const logger = createSilentLogger();
  const isStuck = { value: false };
  const groupHealth = createGroupHealth(now, logger);
  const liveness = createServerLiveness(now, logger);
  liveness.keepOnly(servers);
  const context: ForwardContext = {
    protocol: fixtureProtocol,
    catalog,
    ledger: createServerLedger(now),
    liveness,
    retryShare: createRetryShare(
      () => ({ ratio: 0, slack: options.retrySlack ?? 100, windowMilliseconds: 10_000 }),
      () => 1,
      now,
    ),
    coldShare: createColdShare(() => options.sendingEntries ?? ALONE, now),
    statements: createServerStatements({
      rateLimits: createServerRateLimits({
        logger,
        entries: () => options.sendingEntries ?? ALONE,
        onChange: () => undefined,
        now,
      }),
      backoffs: createServerBackoffs(now, logger),
      departures: createServerDepartures(now, logger),
    }),
    arrivals: createArrivalMeter(now),
    entries: () => 1,
    pulse: { ...createPulse(now), isStuck: () => isStuck.value },
    logger,
    metrics: createMetrics(),
    ownZone: 'zone',
    now,
    // Without randomness servers are chosen in the order of their names.
    random: () => 0,
    groupHealth,
  };
  const port = await freePort();
  const listener = createCallerListener({
    host: HOST,
    port,
    context,
    isOutdated: () => false,
    lingerMilliseconds: 0,
  });
  await listener.start();
  return {
    port,
    arrivals,
    catalog,
    isStuck,
    groupHealth,
    liveness,
    logger,
    async close() {
      for (const socket of sockets) socket.destroy();
      for (const server of running) server.close();
      await listener.stop();
    },
  };
}

/** Answers in full. */
export function answerWith(text: string, status = 200): Script {
  return (incoming, response) => {
    response.writeHead(status, {
      'request-id': String(incoming.headers['request-id']),
      signature: 'signed',
      'content-length': Buffer.byteLength(text),
    });
    response.end(text);
  };
}

/** Answers later than a server is expected to whose times are not known yet. */
export function slowly(script: Script): Script {
  return (incoming, response) => void setTimeout(() => script(incoming, response), 80);
}

/** States that it did not run the request. */
export const refuseAll: Script = (incoming, response) => {
  response.writeHead(503, {
    'request-id': String(incoming.headers['request-id']),
    'not-run': '1',
    'content-length': 0,
  });
  response.end();
};

/** Answers in full, and says that it leaves. */
export const answerLeaving: Script = (incoming, response) => {
  response.writeHead(200, {
    'request-id': String(incoming.headers['request-id']),
    signature: 'signed',
    leaving: '1',
    'content-length': 0,
  });
  response.end();
};

/** Takes the request and closes the connection without an answer. */
export const loseAnswer: Script = (incoming) => {
  incoming.socket.destroy();
};

/** Streams events from `from`, and closes the connection after `until` in the middle of the next. */
export function streamEvents(last: number, brokenAfter?: number): Script {
  return (incoming, response) => {
    const from = Number(incoming.headers['last-event'] ?? 0) + 1;
    response.writeHead(200, {
      'request-id': String(incoming.headers['request-id']),
      signature: 'signed',
      'content-type': 'text/event-stream',
    });
    for (let id = from; id <= last; id += 1) {
      if (brokenAfter !== undefined && id > brokenAfter) {
        response.write(`id: ${id}\ndata: ha`, () => incoming.socket.destroy());
        return;
      }
      response.write(`id: ${id}\ndata: ${id}\n\n`);
    }
    response.end();
  };
}
