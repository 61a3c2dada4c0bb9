/**
 * Requests that reach an entry on kept connections while it stops.
 */
import { createServer } from 'node:http';
import type { Server } from 'node:http';
import type { AddressInfo } from 'node:net';

import { createClientGuard, planClientLimits } from '@lapisbridge/client-limits';
import { checkDocument } from '@lapisbridge/config';
import { ResultCode } from '@lapisbridge/errors';
import { createSilentLogger } from '@lapisbridge/logger';
import { createMetrics } from '@lapisbridge/metrics';
import { createRetryBudget } from '@lapisbridge/routing';
import { OperationKind } from '@lapisbridge/types';
import { request } from 'undici';
import type { Dispatcher } from 'undici';
import { afterEach, expect, it } from 'vitest';

import { createCallerApi } from './caller-api.js';
import type { CallerOptions } from './caller/caller-options.js';
import { createHedgeTimer } from './hedge-timer.js';
import { createInFlightLimits } from './in-flight-limits.js';
import { createStopDeadline } from './stop-deadline.js';
import type { StopDeadline } from './stop-deadline.js';

const REMAINING_MILLISECONDS = 5000;
const DRAFT = JSON.stringify({ model: 'model', messages: [{ role: 'user', content: 'x' }] });
const DOCUMENT = checkDocument(
  JSON.stringify({
    name: 'test',
    accounts: [],
    models: [{ name: 'model' }],
    services: [
      { name: 'stock', operations: [{ path: '/levels', kind: OperationKind.Idempotent }] },
    ],
    availabilityZones: [{ name: 'a' }],
  }),
).unsafeCoerce();

let server: Server;

afterEach(() => server.close());

interface EntryInTest {
  send(path: string, timeoutMilliseconds: number): Promise<Dispatcher.ResponseData>;
  /** Number of times that a backend server was chosen for a request. */
  choices(): number;
}

/** An entry without backend servers. */
async function startEntry(stopDeadline: StopDeadline): Promise<EntryInTest> {
  let choices = 0;
  const logger = createSilentLogger();
  const options = {
    instance: {
      self: { environment: 'test' },
      state: { configuration: { version: 1, document: DOCUMENT } },
      logger,
    },
    guard: createClientGuard({
      limits: planClientLimits({ memoryBytes: 350e6, maximumDescriptors: 4200, heapBytes: 100e6 }),
      logger,
      now: () => performance.now(),
    }),
    accounts: {
      authenticate: () => Promise.resolve({ name: 'account', maximumInFlightTokens: 1000 }),
    },
    inFlight: createInFlightLimits(),
    metrics: createMetrics(),
    context: {
      pool: {
        candidates() {
          choices += 1;
          return [];
        },
      },
      logger,
      budget: createRetryBudget({ ratio: () => 0, now: () => 0 }),
      nextTurn: () => 0,
      random: () => 0,
      hedgeTimer: createHedgeTimer(),
    },
    stopDeadline,
    isReady: () => false,
  } as unknown as CallerOptions;
  const handle = createCallerApi(options);
  server = createServer((incoming, response) => void handle(incoming, response));
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as AddressInfo;
  return {
    choices: () => choices,
    send: (path, timeoutMilliseconds) =>
      request(`http://127.0.0.1:${port}${path}`, {
        method: 'POST',
        body: DRAFT,
        headers: {
          'idempotency-key': 'key',
          'lapisbridge-timeout-ms': String(timeoutMilliseconds),
        },
      }),
  };
}

async function resultOf(pending: Promise<Dispatcher.ResponseData>): Promise<unknown> {
  const { statusCode, headers, body } = await pending;
  await body.dump();
  return [statusCode, Number(headers['lapisbridge-result']), headers['retry-after']];
}

it.each(['/v1/chat/completions', '/services/stock/levels'])(
  'rejects a request to %s that it may not finish before it ends, and chooses no server for it',
  async (path) => {
    // Guards against requests that are passed on late and cut off when the process ends.
    const stopDeadline = createStopDeadline(() => 0);
    const entry = await startEntry(stopDeadline);
    stopDeadline.begin(REMAINING_MILLISECONDS);
    stopDeadline.rejectLate();
    const late = entry.send(path, REMAINING_MILLISECONDS * 2);
    expect(await resultOf(late)).toEqual([503, ResultCode.NotReady, '1']);
    expect(entry.choices()).toBe(0);
  },
);

it.each(['/v1/chat/completions', '/services/stock/levels'])(
  'serves a request to %s whose timeout is shorter than the time left',
  async (path) => {
    const stopDeadline = createStopDeadline(() => 0);
    const entry = await startEntry(stopDeadline);
    stopDeadline.begin(REMAINING_MILLISECONDS);
    stopDeadline.rejectLate();
    const inTime = entry.send(path, REMAINING_MILLISECONDS);
    expect(await resultOf(inTime)).toEqual([503, ResultCode.NoBackendServer, '1']);
    expect(entry.choices()).toBe(1);
  },
);

it.each(['/v1/chat/completions', '/services/stock/levels'])(
  'serves every request to %s until the balancer has noticed the stop',
  async (path) => {
    const stopDeadline = createStopDeadline(() => 0);
    const entry = await startEntry(stopDeadline);
    stopDeadline.begin(REMAINING_MILLISECONDS);
    const early = entry.send(path, REMAINING_MILLISECONDS * 2);
    expect(await resultOf(early)).toEqual([503, ResultCode.NoBackendServer, '1']);
    expect(entry.choices()).toBe(1);
  },
);
