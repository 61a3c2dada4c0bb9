/**
 * Streams at a backend server that gives no sign of life any more while others of its service do.
 */
import { request } from 'node:http';

import { RequestKind } from '@lapisbridge/catalog';
import { sleep } from '@lapisbridge/kernel';
import { afterEach, beforeEach, expect, it } from 'vitest';

import { startFixture, streamEvents } from './forwarding-fixture.js';
import type { BackendHandler, Fixture } from './forwarding-fixture.js';
import { callerPatience } from './plan-wait.js';
import { STREAM_ROUTE } from './stream-route-fixture.js';

let fixture: Fixture;
let reports: NodeJS.Timeout;
/** Servers whose sidecars report. */
let reporting: Set<string>;

const NAMES = ['one', 'two', 'three'];
const EVENTS = 6;
const ALL_EVENTS = [1, 2, 3, 4, 5, 6].map((id) => `id: ${id}\ndata: ${id}\n\n`).join('');

/** Makes some events and then nothing more. */
function fallSilentAfter(count: number): BackendHandler {
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

/** The text that the caller of one stream has when it ends. */
function stream(requestId: string): Promise<string> {
  return new Promise((resolve) => {
    let text = '';
    const outgoing = request({ port: fixture.port, method: 'POST' }, (incoming) => {
      incoming.on('data', (chunk: Buffer) => {
        text += chunk.toString();
      });
      incoming.on('error', () => undefined);
      incoming.on('close', () => resolve(text));
    });
    outgoing.setHeader('request-id', requestId);
    outgoing.on('error', () => resolve(text));
    outgoing.end();
  });
}

beforeEach(() => {
  reporting = new Set(NAMES);
  reports = setInterval(() => {
    for (const name of reporting) fixture.liveness.heard(name);
  }, 50);
});

afterEach(async () => {
  clearInterval(reports);
  await fixture.close();
});

it('goes on elsewhere at once where it waits for its first event', async () => {
  await start(fallSilentAfter(0), streamEvents(EVENTS));
  const began = performance.now();
  const answer = stream('waiting');
  await sleep(50);
  reporting.delete('one');
  expect(await answer).toBe(ALL_EVENTS);
  expect(performance.now() - began).toBeLessThan(1000);
  expect(fixture.arrivals.map(({ instanceId }) => instanceId)).toEqual(['one', 'two']);
});

it('goes on elsewhere behind its last event, also while its service makes no events', async () => {
  await start(fallSilentAfter(3), streamEvents(EVENTS));
  const answer = stream('begun');
  await sleep(50);
  reporting.delete('one');
  expect(await answer).toBe(ALL_EVENTS);
  expect(fixture.arrivals[1]).toMatchObject({ headers: { 'last-event': '3' } });
});

it.each([
  ['that waits', 0],
  ['that has begun', 3],
])('ends a stream %s before its caller leaves where no server goes on', async (_what, events) => {
  // Guards against streams that are moved, wait for a service that stands still, and are left.
  await start(fallSilentAfter(events), fallSilentAfter(0));
  const began = performance.now();
  const answer = stream('late');
  await sleep(50);
  reporting.delete('one');
  await answer;
  expect(performance.now() - began).toBeLessThan(callerPatience(STREAM_ROUTE));
  expect(fixture.arrivals[0]?.instanceId).toBe('one');
});

it('ends a stream before its caller leaves where its server stops after a long wait', async () => {
  // Guards against streams that wait at one server for as long as their callers stay.
  await start(fallSilentAfter(0), streamEvents(EVENTS));
  const began = performance.now();
  const answer = stream('long');
  await sleep(1750);
  reporting.delete('one');
  await answer;
  expect(performance.now() - began).toBeLessThan(callerPatience(STREAM_ROUTE));
  expect(fixture.arrivals[0]?.instanceId).toBe('one');
});

it('leaves a stream that has begun to a server that reports, as long as its caller stays', async () => {
  // Guards against answers that an entry breaks off although their server is there.
  const pausing: BackendHandler = (incoming, response) => {
    fallSilentAfter(3)(incoming, response);
    setTimeout(() => response.end('id: 4\ndata: 4\n\n'), callerPatience(STREAM_ROUTE) + 100);
  };
  await start(pausing, streamEvents(EVENTS));
  expect(await stream('pausing')).toContain('id: 4');
  expect(fixture.arrivals).toHaveLength(1);
});
