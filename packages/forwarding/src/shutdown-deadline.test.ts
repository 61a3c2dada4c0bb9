/**
 * What callers get from an entry that shuts down, depending on the time that is left.
 */
import { Agent, request } from 'node:http';
import type { IncomingMessage, ServerResponse } from 'node:http';

import { RequestKind } from '@lapisbridge/catalog';
import { sleep } from '@lapisbridge/kernel';
import { afterEach, describe, expect, it } from 'vitest';

import { respondWith, startFixture } from './forwarding-fixture.js';
import type { BackendHandler, Fixture } from './forwarding-fixture.js';

let fixture: Fixture | undefined;
const agent = new Agent({ keepAlive: true, maxSockets: 1 });

afterEach(() => fixture?.close());

interface Answer {
  readonly status: number;
  readonly closesConnection: boolean;
  readonly retryAfter: string | undefined;
  readonly isComplete: boolean;
}

/** Sends a request on the kept connection. */
function send(
  port: number,
  requestId: string,
  onHead: (incoming: IncomingMessage) => void = () => undefined,
): Promise<Answer> {
  return new Promise((resolve, reject) => {
    const headers = { 'request-id': requestId };
    const outgoing = request({ host: '127.0.0.1', port, agent, method: 'POST', headers });
    outgoing.on('response', (incoming) => {
      onHead(incoming);
      incoming.resume();
      incoming.on('error', () => undefined);
      incoming.on('close', () =>
        resolve({
          status: incoming.statusCode ?? 0,
          closesConnection: incoming.headers.connection === 'close',
          retryAfter: incoming.headers['retry-after'],
          isComplete: incoming.complete,
        }),
      );
    });
    outgoing.on('error', reject);
    outgoing.end('body');
  });
}

/** Begins a stream at once and ends it after the time. */
function streamFor(milliseconds: number): BackendHandler {
  return (incoming, response) => {
    response.writeHead(200, {
      'request-id': String(incoming.headers['request-id']),
      signature: 'signed',
      'content-type': 'text/event-stream',
    });
    response.write('id: 1\ndata: 1\n\n');
    setTimeout(() => response.end('id: 2\ndata: 2\n\n'), milliseconds);
  };
}

function arrivedIds({ arrivals }: Fixture): unknown[] {
  return arrivals.map(({ headers }) => headers['request-id']);
}

const STREAM = { kind: RequestKind.Streaming, timeoutMilliseconds: 3000 };

/** Shuts down while a response is under way whose head promised a kept connection. */
async function shutDownUnderStream(started: Fixture, milliseconds: number): Promise<Answer> {
  return new Promise((resolve, reject) => {
    const answer = send(started.port, 'early', () => void started.shutDown(milliseconds));
    answer.then(resolve, reject);
  });
}

describe('a request that comes on a kept connection during the shutdown', () => {
  it('is refused before it is sent to a server if it may outlast the entry', async () => {
    fixture = await startFixture({ servers: { one: streamFor(300) }, route: STREAM });
    const early = await shutDownUnderStream(fixture, 2000);
    expect(early).toMatchObject({ status: 200, isComplete: true, closesConnection: false });
    const late = await send(fixture.port, 'late');
    expect(late).toMatchObject({ status: 503, closesConnection: true, retryAfter: '0' });
    expect(arrivedIds(fixture)).toEqual(['early']);
  });

  it('is served if it ends before the entry in any case', async () => {
    const route = { ...STREAM, timeoutMilliseconds: 1000 };
    fixture = await startFixture({ servers: { one: streamFor(300) }, route });
    await shutDownUnderStream(fixture, 2000);
    const late = await send(fixture.port, 'late');
    expect(late).toMatchObject({ status: 200, closesConnection: true, isComplete: true });
  });
});

describe('a request that is in flight when the shutdown begins', () => {
  it('gets a response that closes its connection', async () => {
    const delayed: BackendHandler = (incoming, response) =>
      void setTimeout(() => respondWith('whole')(incoming, response), 200);
    fixture = await startFixture({ servers: { one: delayed } });
    const answer = send(fixture.port, 'early');
    await sleep(100);
    void fixture.shutDown(2000);
    expect(await answer).toMatchObject({ status: 200, closesConnection: true, isComplete: true });
  });

  it('is refused at once if it waits for a server and its usual time is longer than what is left', async () => {
    fixture = await startFixture({
      servers: { one: streamFor(0) },
      groups: { one: { group: 'group', epoch: 1, rank: 0, open: true } },
      route: { ...STREAM, latencyObjectiveMilliseconds: 900 },
    });
    fixture.groupHealth.recordReport({ group: 'group', rank: 0, epoch: 1, isOpen: false });
    let isAnswered = false;
    const answer = send(fixture.port, 'early').finally(() => {
      isAnswered = true;
    });
    await sleep(100);
    expect(isAnswered).toBe(false);
    const shutdownAt = performance.now();
    void fixture.shutDown(1000);
    expect(await answer).toMatchObject({ status: 503, closesConnection: true });
    expect(performance.now() - shutdownAt).toBeLessThan(500);
    expect(fixture.arrivals).toEqual([]);
  });

  it('waits for capacity without further checks if it may have run', async () => {
    // Guards against a loop that checks a request again and again that can no longer be refused.
    const refuse = (incoming: IncomingMessage, response: ServerResponse, after?: string): void => {
      response.writeHead(503, {
        'request-id': String(incoming.headers['request-id']),
        'not-run': '1',
        'content-length': 0,
        ...(after === undefined ? {} : { 'retry-after': after }),
      });
      response.end();
    };
    const one: BackendHandler = (incoming, response) => {
      if (incoming.headers['request-id'] === 'early') {
        setTimeout(() => incoming.socket.destroy(), 100);
      } else refuse(incoming, response);
    };
    const two: BackendHandler = (incoming, response) => refuse(incoming, response, '0.5');
    const started = await startFixture({
      servers: { one, two },
      route: { kind: RequestKind.Idempotent, latencyObjectiveMilliseconds: 2500 },
    });
    fixture = started;
    await send(started.port, 'first');
    const answer = send(started.port, 'early');
    await sleep(50);
    void started.shutDown(2000);
    await answer;
    const waits = started.logger.decisionsAbout('early').filter(({ kind }) => kind === 'wait');
    expect(waits.length).toBeGreaterThan(0);
    expect(waits.length).toBeLessThan(10);
  });

  it('gets a failure rather than a closed connection if its server does not respond in time', async () => {
    fixture = await startFixture({ servers: { one: () => undefined } });
    const answer = send(fixture.port, 'early');
    await sleep(100);
    const shutdownAt = performance.now();
    void fixture.shutDown(800);
    expect(await answer).toMatchObject({ status: 504, closesConnection: true, isComplete: true });
    expect(performance.now() - shutdownAt).toBeLessThan(800);
  });
});

it('refuses a request whose body is not complete at the deadline', async () => {
  fixture = await startFixture({ servers: { one: respondWith('whole') } });
  const outgoing = request({
    host: '127.0.0.1',
    port: fixture.port,
    method: 'POST',
    headers: { 'request-id': 'unfinished', 'transfer-encoding': 'chunked' },
  });
  const status = new Promise((resolve, reject) => {
    outgoing.on('response', (incoming) => resolve(incoming.statusCode));
    outgoing.on('error', reject);
  });
  outgoing.write('first');
  await sleep(100);
  void fixture.shutDown(500);
  expect(await status).toBe(503);
  expect(fixture.arrivals).toEqual([]);
  outgoing.destroy();
});
