/**
 * Forwarding while a backend server states a rate limit.
 */
import { RequestKind } from '@lapisbridge/catalog';
import { afterEach, expect, it } from 'vitest';

import { sendRequest } from './caller-fixture.js';
import type { ReceivedResponse } from './caller-fixture.js';
import { refuseRequest, startFixture } from './forwarding-fixture.js';
import type { BackendHandler, Fixture } from './forwarding-fixture.js';

let fixture: Fixture;

afterEach(() => fixture.close());

/** Answers in full, or with a stream of one event, and states the limit. */
function answerLimited(rateLimit: number, isStream: boolean): BackendHandler {
  return (incoming, response) => {
    response.writeHead(200, {
      'request-id': String(incoming.headers['request-id']),
      signature: 'signed',
      'rate-limit': String(rateLimit),
      'content-type': isStream ? 'text/event-stream' : 'text/plain',
    });
    response.end(isStream ? 'id: 1\ndata: 1\n\n' : 'answer');
  };
}

function send(id: string): Promise<ReceivedResponse> {
  return sendRequest(fixture.port, id);
}

it.each([
  ['streams', RequestKind.Streaming],
  ['at-most-once requests', RequestKind.AtMostOnce],
  ['idempotent requests', RequestKind.Idempotent],
])(
  'sends a server no more %s than its rate limit allows, and the rest to others',
  async (_, kind) => {
    // Guards against sending a server more requests than the rate limit that it states.
    const isStream = kind === RequestKind.Streaming;
    fixture = await startFixture({
      servers: { limited: answerLimited(1, isStream), other: answerLimited(1000, isStream) },
      route: { kind, latencyObjectiveMilliseconds: 60_000 },
    });
    const startedAt = performance.now();
    for (let index = 0; index < 30; index += 1) {
      expect((await send(`id-${index}`)).status).toBe(200);
    }
    const seconds = (performance.now() - startedAt) / 1000;
    const toLimited = fixture.arrivals.filter(({ instanceId }) => instanceId === 'limited');
    expect(toLimited.length).toBeGreaterThan(0);
    // One request before the limit is known, and one at once after that.
    expect(toLimited.length).toBeLessThanOrEqual(2 + Math.ceil(seconds));
  },
);

it('tells a caller when to retry where the limits of all servers are used up', async () => {
  // Guards against callers that are held until their deadline, or sent to the server regardless.
  fixture = await startFixture({
    servers: { one: answerLimited(0, false), two: refuseRequest },
    route: { kind: RequestKind.AtMostOnce },
  });
  const statuses: number[] = [];
  for (let index = 0; index < 6; index += 1) {
    const { status, retryAfterSeconds: retryAfter } = await send(`id-${index}`);
    statuses.push(status);
    if (status === 503) expect(retryAfter).toBeGreaterThan(0);
  }
  expect(statuses.at(-1)).toBe(503);
  expect(fixture.arrivals.filter(({ instanceId }) => instanceId === 'one').length).toBeLessThan(4);
});

it('holds a request for a server that soon takes one more', async () => {
  // Guards against telling a caller to retry a second later than it could be served.
  fixture = await startFixture({
    servers: { one: answerLimited(1.9, false) },
    route: { kind: RequestKind.AtMostOnce, latencyObjectiveMilliseconds: 60_000 },
  });
  const statuses: number[] = [];
  for (let index = 0; index < 4; index += 1) statuses.push((await send(`id-${index}`)).status);
  expect(statuses).toEqual([200, 200, 200, 200]);
});
