/**
 * Requests while one of their backend servers has asked for a backoff.
 */
import { RequestKind } from '@lapisbridge/catalog';
import { afterEach, expect, it } from 'vitest';

import { sendRequest } from './caller-fixture.js';
import type { ReceivedAnswer } from './caller-fixture.js';
import {
  answerWith,
  loseAnswer,
  slowly,
  startFixture,
  streamEvents,
} from './forwarding-fixture.js';
import type { Fixture, Script } from './forwarding-fixture.js';

let fixture: Fixture;

afterEach(() => fixture.close());

/** Refuses the request and asks for so many seconds without others. */
function askForBackoff(seconds: number): Script {
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

function send(id: string): Promise<ReceivedAnswer> {
  return sendRequest(fixture.port, id);
}

function arrivalsAt(server: string): number {
  return fixture.arrivals.filter(({ instanceId }) => instanceId === server).length;
}

it.each([
  ['streams', RequestKind.Streaming],
  ['at-most-once requests', RequestKind.AtMostOnce],
  ['idempotent requests', RequestKind.Idempotent],
])('sends no %s to a server that backs off, and all to others', async (_, kind) => {
  // Guards against entries that go on sending to a server that has asked for rest.
  const serve = kind === RequestKind.Streaming ? streamEvents(2) : answerWith('answer');
  fixture = await startFixture({
    servers: { backingOff: askForBackoff(30), other: slowly(serve) },
    route: { kind },
  });
  for (let index = 0; index < 8; index += 1) {
    expect((await send(`id-${index}`)).status).toBe(200);
  }
  expect(arrivalsAt('backingOff')).toBe(1);
});

/** Treats the first request in one way and all others in another. */
function changing(first: Script, later: Script): Script {
  let isFirst = true;
  return (incoming, response) => {
    const script = isFirst ? first : later;
    isFirst = false;
    script(incoming, response);
  };
}

const hang: Script = () => undefined;

it.each([
  ['second try', RequestKind.Idempotent, answerWith('answer'), loseAnswer],
  ['hedge', RequestKind.Idempotent, answerWith('answer'), hang],
  ['resumed stream', RequestKind.Streaming, streamEvents(6), streamEvents(6, 3)],
])('sends no %s to a server that backs off', async (_, kind, serve, failure) => {
  // Guards against ways of sending that pass the choice of a server by.
  fixture = await startFixture({
    servers: {
      backingOff: askForBackoff(30),
      failing: changing(serve, failure),
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
  // Guards against servers that stay without work after a backoff.
  fixture = await startFixture({
    servers: { one: askForBackoff(0.3), other: slowly(answerWith('answer')) },
  });
  await send('first');
  await new Promise((resolve) => {
    setTimeout(resolve, 350);
  });
  await send('second');
  expect(arrivalsAt('one')).toBe(2);
});

it('keeps a request where a backoff is over soon', async () => {
  // Guards against callers that are told to come back later than they could be served.
  fixture = await startFixture({
    servers: { one: changing(askForBackoff(0.3), answerWith('answer')) },
    route: { kind: RequestKind.AtMostOnce, latencyObjectiveMilliseconds: 60_000 },
  });
  await send('first');
  const { status, milliseconds } = await send('second');
  expect(status).toBe(200);
  expect(milliseconds).toBeGreaterThan(250);
  expect(arrivalsAt('one')).toBe(2);
});

it('refuses a request at once where every server backs off for long, and says until when', async () => {
  // Guards against callers that come back within the backoff, or wait for nothing.
  fixture = await startFixture({
    servers: { one: askForBackoff(1.4), two: askForBackoff(2) },
    route: { timeoutMilliseconds: 10_000 },
  });
  await send('first');
  const { status, retryAfter, milliseconds } = await send('second');
  expect(status).toBe(503);
  expect(milliseconds).toBeLessThan(200);
  expect(retryAfter).toBeGreaterThan(1.3);
  expect(retryAfter).toBeLessThan(2);
  expect(fixture.arrivals).toHaveLength(2);
});
