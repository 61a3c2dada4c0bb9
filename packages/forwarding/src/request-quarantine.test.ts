/**
 * Forwarding of a request that ends the servers which run it.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';

import { RequestKind } from '@lapisbridge/catalog';
import { sleep } from '@lapisbridge/kernel';
import { afterEach, describe, expect, it } from 'vitest';

import { sendRequest } from './caller-fixture.js';
import { respondWith, startFixture, streamEvents } from './forwarding-fixture.js';
import type { BackendHandler, Fixture } from './forwarding-fixture.js';

let fixture: Fixture;

afterEach(() => fixture.close());

const SERVERS = ['one', 'two', 'three', 'four', 'five', 'six'];
const DEADLY = ['aa', 'dead'];
/** Ids of attempts at the deadly request begin with it. */
const DEADLY_ID = 'deadly';

function endServer(incoming: IncomingMessage): void {
  fixture.end(String(incoming.headers['server-id']));
}

function isDeadly({ headers }: Pick<IncomingMessage, 'headers'>): boolean {
  return String(headers['request-id']).startsWith(DEADLY_ID);
}

/** Ends the server under the deadly request, and serves any other. */
function handlerWith(end: BackendHandler, serve: BackendHandler): BackendHandler {
  return (incoming, response) => (isDeadly(incoming) ? end : serve)(incoming, response);
}

function begin(incoming: IncomingMessage, response: ServerResponse): void {
  response.writeHead(200, {
    'request-id': String(incoming.headers['request-id']),
    signature: 'signed',
    'content-type': 'text/event-stream',
  });
  response.flushHeaders();
}

function endAfterEvents(incoming: IncomingMessage, response: ServerResponse): void {
  const from = Number(incoming.headers['last-event'] ?? 0);
  begin(incoming, response);
  for (let id = from + 1; id <= from + 3; id += 1) response.write(`id: ${id}\ndata: ${id}\n\n`);
  setTimeout(() => endServer(incoming), 30);
}

async function start(kind: RequestKind, end: BackendHandler): Promise<void> {
  const serve = kind === RequestKind.Streaming ? streamEvents(3) : respondWith('answer');
  fixture = await startFixture({
    servers: Object.fromEntries(SERVERS.map((id) => [id, handlerWith(end, serve)])),
    route: { kind, resumable: kind === RequestKind.Streaming },
  });
}

function countDeadly(): number {
  return fixture.arrivals.filter(isDeadly).length;
}

/** Sends the deadly request; a response that is broken off counts as answered. */
async function sendDeadly(id: string): Promise<void> {
  await sendRequest(fixture.port, `${DEADLY_ID}-${id}`, DEADLY).catch(() => undefined);
}

describe('a request that ends its servers', () => {
  it.each<[string, RequestKind, BackendHandler]>([
    ['a stream, before its head', RequestKind.Streaming, endServer],
    ['a stream, between its events', RequestKind.Streaming, endAfterEvents],
    ['a look-up', RequestKind.Idempotent, endServer],
    ['an at-most-once request', RequestKind.AtMostOnce, endServer],
  ])('reaches no third one, although its caller repeats it: %s', async (_what, kind, end) => {
    // Guards against a caller whose retries end server after server.
    await start(kind, end);
    for (const id of ['first', 'second', 'third', 'fourth']) await sendDeadly(id);
    expect(countDeadly()).toBe(2);
    expect(fixture.crashLedger.quarantinedRequests()).toHaveLength(1);
    expect((await sendRequest(fixture.port, 'sound', ['aa', 'c1'])).status).toBe(200);
    const refused = await sendRequest(fixture.port, 'fifth', DEADLY);
    expect(refused.status).toBe(503);
    expect(refused.milliseconds).toBeLessThan(200);
  });

  it('is announced to other entries before its caller has the answer', async () => {
    // Guards against a caller who asks another entry a millisecond later.
    await start(RequestKind.Idempotent, endServer);
    await sendDeadly('first');
    const announced = fixture.announcements.flatMap(({ crashes }) => crashes);
    expect(new Set(announced.map(({ server }) => server)).size).toBe(2);
  });

  it('reaches no server again after a third end when it is sent twice at once', async () => {
    await start(RequestKind.Idempotent, endServer);
    await Promise.all([sendDeadly('first'), sendDeadly('second')]);
    const reached = countDeadly();
    expect(reached).toBeLessThanOrEqual(4);
    for (const id of ['third', 'fourth']) await sendDeadly(id);
    expect(countDeadly()).toBe(reached);
  });

  it('is not hedged while two servers have ended under it', async () => {
    // Guards against a fourth server for a request whose third has fallen silent.
    let arrived = 0;
    await start(RequestKind.Idempotent, (incoming) => {
      arrived += 1;
      if (arrived <= 2) endServer(incoming);
    });
    const elsewhere = [{ digest: 'rab', generation: 1 }];
    fixture.crashLedger.recordCrash({
      server: 'other',
      endedAt: performance.now(),
      suspects: [],
      requests: elsewhere,
      isSilent: false,
    });
    await sendDeadly('first');
    expect(fixture.crashLedger.quarantinedRequests()).toEqual([]);
    await sendDeadly('second');
    expect(countDeadly()).toBe(3);
  });

  it('is served again once it is released', async () => {
    await start(RequestKind.Idempotent, endServer);
    await sendDeadly('first');
    const [digest] = fixture.crashLedger.quarantinedRequests();
    fixture.crashLedger.release(digest ?? '');
    await sendDeadly('second');
    expect(countDeadly()).toBe(4);
  });
});

describe('sound requests', () => {
  it('get their second try after the end of a server', async () => {
    let isFirst = true;
    fixture = await startFixture({
      servers: Object.fromEntries(
        SERVERS.map((id) => [
          id,
          (incoming: IncomingMessage, response: ServerResponse) => {
            if (isFirst) endServer(incoming);
            else respondWith('answer')(incoming, response);
            isFirst = false;
          },
        ]),
      ),
      route: { kind: RequestKind.Idempotent },
    });
    expect((await sendRequest(fixture.port, 'sound', ['aa', 'c1'])).status).toBe(200);
    expect(fixture.arrivals).toHaveLength(2);
  });

  it('for one target are served while servers end under them', async () => {
    // Guards against refusing what many callers ask for.
    await start(RequestKind.Idempotent, endServer);
    let failed = 0;
    async function ask(): Promise<void> {
      for (let round = 0; round < 40; round += 1) {
        const { status } = await sendRequest(fixture.port, `popular-${round}`, ['aa', 'c1']);
        if (status !== 200) failed += 1;
        await sleep(20);
      }
    }
    async function endServers(): Promise<void> {
      for (const id of SERVERS.slice(0, 4)) {
        // Long enough for the second tries of what was lost with the one before.
        await sleep(200);
        fixture.end(id);
      }
    }
    await Promise.all([...Array.from({ length: 8 }, ask), endServers()]);
    expect(fixture.crashLedger.quarantinedRequests()).toEqual([]);
    expect(failed).toBe(0);
  });
});
