/**
 * Streams at a backend server that has gone silent while others of its service have not.
 */
import { request } from 'node:http';

import { RequestKind } from '@lapisbridge/catalog';
import { afterEach, beforeEach, expect, it } from 'vitest';

import { startControlledClock } from './controlled-clock.js';
import type { ControlledClock } from './controlled-clock.js';
import { startFixture, streamEvents } from './forwarding-fixture.js';
import type { BackendHandler, Fixture } from './forwarding-fixture.js';
import { callerPatienceMilliseconds } from './plan-wait.js';
import { STREAM_ROUTE } from './stream-route-fixture.js';

let clock: ControlledClock;
let fixture: Fixture;
let reports: NodeJS.Timeout;
/** Servers whose sidecars report. */
let reporting: Set<string>;

const NAMES = ['one', 'two', 'three'];
const EVENTS = 6;
const ALL_EVENTS = [1, 2, 3, 4, 5, 6].map((id) => `id: ${id}\ndata: ${id}\n\n`).join('');

/** Sends some events and then nothing more. */
function sendEventsThenStall(count: number): BackendHandler {
  return (incoming, response) => {
    if (count === 0) return;
    response.writeHead(200, {
      'request-id': String(incoming.headers['request-id']),
      signature: 'signed',
      'content-type': 'text/event-stream',
    });
    for (let id = 1; id <= count; id += 1) response.write(`id: ${id}\ndata: ${id}\n\n`);
  };
}

async function start(one: BackendHandler, two: BackendHandler): Promise<void> {
  fixture = await startFixture({
    servers: { one, two, three: streamEvents(EVENTS) },
    groups: Object.fromEntries(
      NAMES.map((name, rank) => [name, { group: 'group', epoch: 1, rank, open: true }]),
    ),
    route: { kind: RequestKind.Streaming, resumable: true },
  });
}

/** Sends one stream and resolves with the text that its caller has when it ends. */
function stream(requestId: string): Promise<string> {
  return new Promise((resolve) => {
    let text = '';
    const outgoing = request(
      { host: '127.0.0.1', port: fixture.port, method: 'POST' },
      (incoming) => {
        incoming.on('data', (chunk: Buffer) => {
          text += chunk.toString();
        });
        incoming.on('error', () => undefined);
        incoming.on('close', () => resolve(text));
      },
    );
    outgoing.setHeader('request-id', requestId);
    outgoing.on('error', () => resolve(text));
    outgoing.end();
  });
}

beforeEach(() => {
  clock = startControlledClock();
  reporting = new Set(NAMES);
  reports = setInterval(() => {
    for (const name of reporting) fixture.liveness.recordContact(name);
  }, 50);
});

afterEach(async () => {
  clearInterval(reports);
  await clock.runUntil(fixture.close());
  clock.stop();
});

it('continues elsewhere at once while it waits for its first event', async () => {
  await start(sendEventsThenStall(0), streamEvents(EVENTS));
  const began = performance.now();
  const answer = stream('waiting');
  await clock.advance(50);
  reporting.delete('one');
  expect(await clock.runUntil(answer)).toBe(ALL_EVENTS);
  expect(performance.now() - began).toBeLessThan(1000);
  expect(fixture.arrivals.map(({ instanceId }) => instanceId)).toEqual(['one', 'two']);
});

it('continues elsewhere after its last event, also while its service sends no events', async () => {
  await start(sendEventsThenStall(3), streamEvents(EVENTS));
  const answer = stream('begun');
  await clock.advance(50);
  reporting.delete('one');
  expect(await clock.runUntil(answer)).toBe(ALL_EVENTS);
  expect(fixture.arrivals[1]).toMatchObject({ headers: { 'last-event': '3' } });
});

it.each([
  ['that waits', 0],
  ['that has begun', 3],
])(
  'ends a stream %s before its caller leaves where no server continues it',
  async (_what, events) => {
    // Guards against moving a stream and holding it for a stopped service until its caller leaves.
    await start(sendEventsThenStall(events), sendEventsThenStall(0));
    const began = performance.now();
    const answer = stream('late');
    await clock.advance(50);
    reporting.delete('one');
    await clock.runUntil(answer);
    expect(performance.now() - began).toBeLessThan(callerPatienceMilliseconds(STREAM_ROUTE));
    expect(fixture.arrivals[0]?.instanceId).toBe('one');
  },
);

it('ends a stream before its caller leaves if its server stops after a long wait', async () => {
  // Guards against streams that wait at one server until their callers leave.
  await start(sendEventsThenStall(0), streamEvents(EVENTS));
  const began = performance.now();
  const answer = stream('long');
  await clock.advance(1750);
  reporting.delete('one');
  await clock.runUntil(answer);
  expect(performance.now() - began).toBeLessThan(callerPatienceMilliseconds(STREAM_ROUTE));
  expect(fixture.arrivals[0]?.instanceId).toBe('one');
});

it('leaves a started stream at a server that reports, for as long as its caller waits', async () => {
  // Guards against aborting an answer although its server is up.
  const pausing: BackendHandler = (incoming, response) => {
    sendEventsThenStall(3)(incoming, response);
    setTimeout(
      () => response.end('id: 4\ndata: 4\n\n'),
      callerPatienceMilliseconds(STREAM_ROUTE) + 100,
    );
  };
  await start(pausing, streamEvents(EVENTS));
  expect(await clock.runUntil(stream('pausing'))).toContain('id: 4');
  expect(fixture.arrivals).toHaveLength(1);
});

it('sends the next stream elsewhere after a server has kept one waiting in vain', async () => {
  // Guards against a server that hangs while its sidecar reports it idle, and attracts every stream.
  await start(sendEventsThenStall(0), streamEvents(EVENTS));
  fixture.isStuck.value = true;
  expect(await clock.runUntil(stream('first'))).toBe(ALL_EVENTS);
  fixture.isStuck.value = false;
  expect(await clock.runUntil(stream('second'))).toBe(ALL_EVENTS);
  expect(fixture.arrivals.map(({ instanceId }) => instanceId)).toEqual(['one', 'two', 'two']);
});
