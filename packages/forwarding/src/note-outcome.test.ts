import { request } from 'node:http';

import { RequestKind } from '@lapisbridge/catalog';
import { afterEach, expect, it, vi } from 'vitest';

import {
  answerWith,
  loseAnswer,
  refuseAll,
  startFixture,
  streamEvents,
} from './forwarding-fixture.js';
import type { Fixture, FixtureOptions, Script } from './forwarding-fixture.js';
import { EndKind } from './note-outcome.js';

let fixture: Fixture;

afterEach(() => fixture.close());

/** Sends one request; its caller leaves as soon as a server has it, where asked to. */
async function send(isLeaving: boolean): Promise<void> {
  const headers = { 'request-id': 'id' };
  const options = { host: '127.0.0.1', port: fixture.port, method: 'POST', headers };
  const outgoing = request(options, (incoming) => {
    incoming.resume();
    incoming.on('error', () => undefined);
  });
  outgoing.on('error', () => undefined);
  outgoing.end('body');
  if (!isLeaving) return;
  await vi.waitFor(() => expect(fixture.arrivals).toHaveLength(1), WAIT);
  outgoing.destroy();
}

const WAIT = { timeout: 60_000, interval: 5 };
const ENDS: readonly string[] = Object.values(EndKind);

/** The lines that end the request. */
async function endsOf(options: FixtureOptions, isLeaving = false) {
  fixture = await startFixture(options);
  const ends = () => fixture.logger.decisionsAbout('id').filter(({ kind }) => ENDS.includes(kind));
  await send(isLeaving);
  await vi.waitFor(() => expect(ends()).not.toHaveLength(0), WAIT);
  return ends();
}

/** Hopes that are met on the slowest machine. */
const PATIENT = { latencyObjectiveMilliseconds: 60_000, eventGapObjectiveMilliseconds: 60_000 };
const STREAM = { kind: RequestKind.Streaming, resumable: true, ...PATIENT };

/** Takes the request and never answers. */
const stayAway: Script = () => undefined;

it('tells of a stream that came whole whether it was in time, and for whom', async () => {
  const ends = await endsOf({ servers: { one: streamEvents(3) }, route: STREAM });
  expect(ends).toMatchObject([
    {
      kind: EndKind.Answer,
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
  const late: Script = (incoming, response) => {
    setTimeout(() => answerWith('booked')(incoming, response), 60);
  };
  const route = { latencyObjectiveMilliseconds: 20 };
  const ends = await endsOf({ servers: { one: late }, route });
  expect(ends).toMatchObject([{ kind: EndKind.Answer, facts: { isOnTime: false } }]);
});

it('tells once of a request that was refused, and of one that failed', async () => {
  expect(await endsOf({ servers: { one: refuseAll } })).toMatchObject([{ kind: EndKind.Refusal }]);
  await fixture.close();
  expect(await endsOf({ servers: { one: loseAnswer } })).toMatchObject([{ kind: EndKind.Failure }]);
});

it('tells of a caller that left, and of nothing else', async () => {
  // Callers give up before their deadline. Without a line of its own such a request looks as if its
  // process had died.
  const ends = await endsOf({ servers: { one: stayAway } }, true);
  expect(ends).toMatchObject([
    { kind: EndKind.Gone, facts: { route: 'route', hasBegun: false, isRetry: false } },
  ]);
});
