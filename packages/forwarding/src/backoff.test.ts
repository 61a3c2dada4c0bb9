/**
 * Forwarding while a backend server has requested a backoff.
 */
import { RequestKind } from '@lapisbridge/catalog';
import { afterEach, beforeEach, expect, it } from 'vitest';

import { sendRequest } from './caller-fixture.js';
import type { ReceivedResponse } from './caller-fixture.js';
import { startControlledClock } from './controlled-clock.js';
import type { ControlledClock } from './controlled-clock.js';
import {
  respondWith,
  dropConnection,
  withDelay,
  startFixture,
  streamEvents,
} from './forwarding-fixture.js';
import type { BackendHandler, Fixture } from './forwarding-fixture.js';

let clock: ControlledClock;
let fixture: Fixture;

beforeEach(() => {
  clock = startControlledClock();
});

afterEach(async () => {
  await clock.runUntil(fixture.close());
  clock.stop();
});

/** Refuses the request and requests a backoff of so many seconds. */
function refuseWithRetryAfter(seconds: number): BackendHandler {
  return (incoming, response) => {
    response.writeHead(503, {
      'request-id': String(incoming.headers['request-id']),
      'not-run': '1',
      'retry-after': String(seconds),
      'content-length': 0,
    });
    response.end();
  };
}

function send(id: string): Promise<ReceivedResponse> {
  return clock.runUntil(sendRequest(fixture.port, id));
}

function requestCountAt(server: string): number {
  return fixture.arrivals.filter(({ instanceId }) => instanceId === server).length;
}

it.each([
  ['streams', RequestKind.Streaming],
  ['at-most-once requests', RequestKind.AtMostOnce],
  ['idempotent requests', RequestKind.Idempotent],
])('sends no %s to a server that backs off, but all to other servers', async (_, kind) => {
  // Guards against sending further requests to a server that has requested a backoff.
  const serve = kind === RequestKind.Streaming ? streamEvents(2) : respondWith('answer');
  fixture = await startFixture({
    servers: { backingOff: refuseWithRetryAfter(30), other: withDelay(serve) },
    route: { kind },
  });
  for (let index = 0; index < 8; index += 1) {
    expect((await send(`id-${index}`)).status).toBe(200);
  }
  expect(requestCountAt('backingOff')).toBe(1);
});

/** Handles the first request with one script and all later ones with another. */
function firstThen(first: BackendHandler, later: BackendHandler): BackendHandler {
  let isFirst = true;
  return (incoming, response) => {
    const script = isFirst ? first : later;
    isFirst = false;
    script(incoming, response);
  };
}

const neverAnswer: BackendHandler = () => undefined;

it.each([
  ['second try', RequestKind.Idempotent, respondWith('answer'), dropConnection],
  ['hedge', RequestKind.Idempotent, respondWith('answer'), neverAnswer],
  ['resumed stream', RequestKind.Streaming, streamEvents(6), streamEvents(6, 3)],
])('sends no %s to a server that backs off', async (_, kind, serve, failure) => {
  // Guards against ways of sending that bypass the choice of a server.
  fixture = await startFixture({
    servers: {
      backingOff: refuseWithRetryAfter(30),
      failing: firstThen(serve, failure),
      sound: serve,
    },
    route: { kind, resumable: true },
  });
  expect((await send('first')).status).toBe(200);
  expect((await send('second')).status).toBe(200);
  expect(fixture.arrivals.map(({ instanceId }) => instanceId)).toEqual([
    'backingOff',
    'failing',
    'failing',
    'sound',
  ]);
});

it('sends to the server again when the backoff is over', async () => {
  // Guards against servers that get no requests after their backoff.
  fixture = await startFixture({
    servers: { one: refuseWithRetryAfter(0.3), other: withDelay(respondWith('answer')) },
  });
  await send('first');
  await clock.advance(350);
  await send('second');
  expect(requestCountAt('one')).toBe(2);
});

it('holds a request where a backoff ends soon', async () => {
  // Guards against telling a caller to retry later than it could be served.
  fixture = await startFixture({
    servers: { one: firstThen(refuseWithRetryAfter(0.3), respondWith('answer')) },
    route: { kind: RequestKind.AtMostOnce, latencyObjectiveMilliseconds: 60_000 },
  });
  await send('first');
  const { status, milliseconds } = await send('second');
  expect(status).toBe(200);
  expect(milliseconds).toBeGreaterThan(250);
  expect(requestCountAt('one')).toBe(2);
});

it('refuses a request at once where every server backs off for long, and states until when', async () => {
  // Guards against callers that retry during the backoff, or are held in vain.
  fixture = await startFixture({
    servers: { one: refuseWithRetryAfter(1.4), two: refuseWithRetryAfter(2) },
    route: { timeoutMilliseconds: 10_000 },
  });
  await send('first');
  const { status, retryAfterSeconds: retryAfter, milliseconds } = await send('second');
  expect(status).toBe(503);
  expect(milliseconds).toBeLessThan(200);
  expect(retryAfter).toBeGreaterThan(1.3);
  expect(retryAfter).toBeLessThan(2);
  expect(fixture.arrivals).toHaveLength(2);
});
