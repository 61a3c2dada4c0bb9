/**
 * What a shutdown must not change for callers: pipelined requests, connections that wait to be
 * accepted, hedges, and the times that refusals state.
 */
import { request } from 'node:http';
import { connect } from 'node:net';

import { RequestKind } from '@lapisbridge/catalog';
import { sleep } from '@lapisbridge/kernel';
import { afterEach, expect, it } from 'vitest';

import { respondWith, startFixture } from './forwarding-fixture.js';
import type { BackendHandler, Fixture } from './forwarding-fixture.js';
import { lateThresholdMilliseconds } from './late-answer.js';

let fixture: Fixture | undefined;

afterEach(() => fixture?.close());

interface Answer {
  readonly status: number;
  readonly retryAfter: string | undefined;
  readonly milliseconds: number;
}

function send(port: number, requestId: string): Promise<Answer> {
  const startedAt = performance.now();
  return new Promise((resolve, reject) => {
    const headers = { 'request-id': requestId };
    const outgoing = request({ host: '127.0.0.1', port, method: 'POST', headers });
    outgoing.on('response', (incoming) => {
      incoming.resume();
      incoming.on('error', () => undefined);
      incoming.on('close', () =>
        resolve({
          status: incoming.statusCode ?? 0,
          retryAfter: incoming.headers['retry-after'],
          milliseconds: performance.now() - startedAt,
        }),
      );
    });
    outgoing.on('error', reject);
    outgoing.end('body');
  });
}

function respondAfter(milliseconds: number): BackendHandler {
  return (incoming, response) =>
    void setTimeout(() => respondWith('whole')(incoming, response), milliseconds);
}

it('answers each of two pipelined requests that were forwarded before the shutdown', async () => {
  fixture = await startFixture({ servers: { one: respondAfter(800) } });
  const socket = connect(fixture.port, '127.0.0.1');
  let text = '';
  socket.on('data', (chunk: Buffer) => {
    text += chunk.toString();
  });
  const closed = new Promise((resolve) => {
    socket.on('close', resolve);
  });
  socket.on('error', () => undefined);
  const one = (id: string): string =>
    `POST /a HTTP/1.1\r\nhost: host\r\nrequest-id: ${id}\r\ncontent-length: 4\r\n\r\nbody`;
  socket.write(one('first') + one('second'));
  while (fixture.arrivals.length < 2) await sleep(10);
  void fixture.shutDown(2000);
  await closed;
  expect(text.match(/HTTP\/1.1 200/g)?.length).toBe(2);
});

it.each([false, true])(
  'states the same time to retry for a full service (shutdown: %s)',
  async (isShuttingDown) => {
    const refuse: BackendHandler = (incoming, response) => {
      if (isShuttingDown) void fixture?.shutDown(3000);
      response.writeHead(503, {
        'request-id': String(incoming.headers['request-id']),
        'not-run': '1',
        'content-length': 0,
      });
      setTimeout(() => response.end(), 50);
    };
    const route = { timeoutMilliseconds: 12_000 };
    fixture = await startFixture({ servers: { one: refuse }, route });
    const { status, retryAfter } = await send(fixture.port, 'early');
    expect({ status, retryAfter }).toEqual({ status: 503, retryAfter: '1.2' });
  },
);

it('accepts the connections that wait when its listener closes', async () => {
  fixture = await startFixture({ servers: { one: respondWith('whole') } });
  const { port } = fixture;
  void fixture.shutDown(3000);
  const ends: Promise<string>[] = [];
  for (let count = 0; count < 50; count += 1) {
    ends.push(
      send(port, `queued-${count}`).then(
        ({ status }) => String(status),
        (thrown: NodeJS.ErrnoException) => thrown.code ?? 'error',
      ),
    );
  }
  const seen: Record<string, number> = {};
  for (const end of await Promise.all(ends)) seen[end] = (seen[end] ?? 0) + 1;
  expect(seen.ECONNRESET ?? 0, JSON.stringify(seen)).toBe(0);
});

it.each([false, true])(
  'hedges a late request at its usual time (shutdown: %s)',
  async (isShuttingDown) => {
    const route = { kind: RequestKind.Idempotent, latencyObjectiveMilliseconds: 400 };
    let arrivals = 0;
    const handler: BackendHandler = (incoming, response) => {
      arrivals += 1;
      if (arrivals > 1) respondWith('whole')(incoming, response);
    };
    fixture = await startFixture({ servers: { one: handler, two: handler }, route });
    const threshold = lateThresholdMilliseconds({ ...route } as never);
    const answer = send(fixture.port, 'late');
    await sleep(threshold - 60);
    if (isShuttingDown) void fixture.shutDown(5000);
    const { status, milliseconds } = await answer;
    expect(status).toBe(200);
    expect(milliseconds).toBeLessThan(threshold * 1.4);
  },
);

it.each([0, 5])(
  'refuses a waiting request that would not be complete in time, after callers left (%s)',
  async (disconnects) => {
    const hang: BackendHandler = () => undefined;
    let handler: BackendHandler = hang;
    fixture = await startFixture({
      servers: { one: (incoming, response) => handler(incoming, response) },
      route: { latencyObjectiveMilliseconds: 900 },
    });
    for (let count = 0; count < disconnects; count += 1) {
      const outgoing = request({
        host: '127.0.0.1',
        port: fixture.port,
        method: 'POST',
        headers: { 'request-id': `left-${count}` },
      });
      outgoing.on('error', () => undefined);
      outgoing.end('body');
      await sleep(40);
      outgoing.destroy();
      await sleep(20);
    }
    const before = fixture.arrivals.length;
    handler = (incoming, response) => {
      handler = hang;
      response.writeHead(503, {
        'request-id': String(incoming.headers['request-id']),
        'not-run': '1',
        'retry-after': '0.4',
        'content-length': 0,
      });
      response.end();
    };
    await send(fixture.port, 'first');
    const answer = send(fixture.port, 'waiting');
    await sleep(100);
    void fixture.shutDown(1000);
    const { status } = await answer;
    expect(status).toBe(503);
    expect(fixture.arrivals.length - before).toBe(1);
  },
);
