/**
 * Forwarding while a backend server refuses every request although it has free slots.
 */
import { RequestKind } from '@lapisbridge/catalog';
import { afterEach, expect, it } from 'vitest';

import { sendRequest } from './caller-fixture.js';
import { respondWith, withDelay, startFixture, streamEvents } from './forwarding-fixture.js';
import type { BackendHandler, Fixture } from './forwarding-fixture.js';

let fixture: Fixture;

afterEach(() => fixture.close());

const shed: BackendHandler = (incoming, response) => {
  response.writeHead(503, {
    'request-id': String(incoming.headers['request-id']),
    'not-run': '1',
    running: '0',
    'content-length': 0,
  });
  response.end();
};

it.each([
  ['streams', RequestKind.Streaming],
  ['at-most-once requests', RequestKind.AtMostOnce],
  ['idempotent requests', RequestKind.Idempotent],
])('sends most %s to servers that do not refuse them', async (_, kind) => {
  // Guards against spending the retry budget on a server that sheds all load.
  const serve = kind === RequestKind.Streaming ? streamEvents(2) : respondWith('answer');
  fixture = await startFixture({
    servers: { other: withDelay(serve), shedding: shed },
    route: { kind },
  });
  for (let index = 0; index < 10; index += 1)
    expect((await sendRequest(fixture.port, `id-${index}`)).status).toBe(200);
  const toShedding = fixture.arrivals.filter(({ instanceId }) => instanceId === 'shedding');
  expect(toShedding.length).toBeLessThan(5);
});
