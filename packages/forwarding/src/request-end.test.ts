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

/** Sends one request; its caller leaves as soon as a server has it, where asked to. */
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

/** The lines that end the request. */
async function collectEnds(options: FixtureOptions, isDisconnecting = false) {
  fixture = await startFixture(options);
  const ends = () =>
    fixture.logger.decisionsAbout('id').filter(({ kind }) => END_KINDS.includes(kind));
  await send(isDisconnecting);
  await vi.waitFor(() => expect(ends()).not.toHaveLength(0), WAIT);
  return ends();
}

/** Hopes that are met on the slowest machine. */
const UNBOUNDED_OBJECTIVES = { objectiveMilliseconds: 60_000, gapMilliseconds: 60_000 };
const STREAM = { kind: RequestKind.Streaming, resumable: true, ...UNBOUNDED_OBJECTIVES };

/** Takes the request and never answers. */
const neverRespond: BackendHandler = () => undefined;

it('tells of a stream that came whole whether it was in time, and for whom', async () => {
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

it('tells of an answer that was late', async () => {
  const late: BackendHandler = (incoming, response) => {
    setTimeout(() => respondWith('booked')(incoming, response), 60);
  };
  const route = { objectiveMilliseconds: 20 };
  const ends = await collectEnds({ servers: { one: late }, route });
  expect(ends).toMatchObject([{ kind: RequestEndKind.Response, facts: { isOnTime: false } }]);
});

it('tells once of a request that was refused, and of one that failed', async () => {
  expect(await collectEnds({ servers: { one: refuseRequest } })).toMatchObject([
    { kind: RequestEndKind.Refusal },
  ]);
  await fixture.close();
  expect(await collectEnds({ servers: { one: dropConnection } })).toMatchObject([
    { kind: RequestEndKind.Failure },
  ]);
});

it('tells of a caller that left, and of nothing else', async () => {
  // Callers give up before their deadline. Without a line of its own such a request looks as if its
  // process had died.
  const ends = await collectEnds({ servers: { one: neverRespond } }, true);
  expect(ends).toMatchObject([
    {
      kind: RequestEndKind.CallerDisconnected,
      facts: { route: 'route', hasBegun: false, isRetry: false },
    },
  ]);
});
