import { request } from 'node:http';

import { RequestKind } from '@lapisbridge/catalog';
import { afterEach, expect, it, vi } from 'vitest';

import {
  respondWith,
  dropConnection,
  refuseRequest,
  startFixture,
  streamEvents,
} from './forwarding-fixture.js';
import type { BackendHandler, Fixture, FixtureOptions } from './forwarding-fixture.js';
import { RequestEndKind } from './request-end.js';

let fixture: Fixture;

afterEach(() => fixture.close());

/**
 * Sends one request. With `isDisconnecting` the caller disconnects once a server has received it.
 */
async function send(isDisconnecting: boolean): Promise<void> {
  const headers = { 'request-id': 'id' };
  const options = { host: '127.0.0.1', port: fixture.port, method: 'POST', headers };
  const outgoing = request(options, (incoming) => {
    incoming.resume();
    incoming.on('error', () => undefined);
  });
  outgoing.on('error', () => undefined);
  outgoing.end('body');
  if (!isDisconnecting) return;
  await vi.waitFor(() => expect(fixture.arrivals).toHaveLength(1), WAIT);
  outgoing.destroy();
}

const WAIT = { timeout: 60_000, interval: 5 };
const END_KINDS: readonly string[] = Object.values(RequestEndKind);

/** Sends one request and returns the log lines that end it. */
async function collectEnds(options: FixtureOptions, isDisconnecting = false) {
  fixture = await startFixture(options);
  const ends = () =>
    fixture.logger.decisionsAbout('id').filter(({ kind }) => END_KINDS.includes(kind));
  await send(isDisconnecting);
  await vi.waitFor(() => expect(ends()).not.toHaveLength(0), WAIT);
  return ends();
}

/** Objectives that even the slowest machine meets. */
const UNBOUNDED_OBJECTIVES = {
  latencyObjectiveMilliseconds: 60_000,
  eventGapObjectiveMilliseconds: 60_000,
};
const STREAM = { kind: RequestKind.Streaming, resumable: true, ...UNBOUNDED_OBJECTIVES };

/** Accepts the request and never responds. */
const neverRespond: BackendHandler = () => undefined;

it('logs whether a complete stream was on time, with its route and service', async () => {
  const ends = await collectEnds({ servers: { one: streamEvents(3) }, route: STREAM });
  expect(ends).toMatchObject([
    {
      kind: RequestEndKind.Response,
      choice: 'one',
      facts: {
        route: 'route',
        service: 'service',
        isRetry: false,
        isOnTime: true,
        status: 200,
      },
    },
  ]);
});

it('logs a late response as not on time', async () => {
  const late: BackendHandler = (incoming, response) => {
    setTimeout(() => respondWith('booked')(incoming, response), 60);
  };
  const route = { latencyObjectiveMilliseconds: 20 };
  const ends = await collectEnds({ servers: { one: late }, route });
  expect(ends).toMatchObject([{ kind: RequestEndKind.Response, facts: { isOnTime: false } }]);
});

it('logs a refused and a failed request once each', async () => {
  expect(await collectEnds({ servers: { one: refuseRequest } })).toMatchObject([
    { kind: RequestEndKind.Refusal },
  ]);
  await fixture.close();
  expect(await collectEnds({ servers: { one: dropConnection } })).toMatchObject([
    { kind: RequestEndKind.Failure },
  ]);
});

it('logs only the disconnect when the caller disconnects', async () => {
  // Callers disconnect before their deadline. Without a line of its own such a request would look
  // as if its process had died.
  const ends = await collectEnds({ servers: { one: neverRespond } }, true);
  expect(ends).toMatchObject([
    {
      kind: RequestEndKind.CallerDisconnected,
      facts: { route: 'route', hasBegun: false, isRetry: false },
    },
  ]);
});
