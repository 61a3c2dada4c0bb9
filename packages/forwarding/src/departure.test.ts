/**
 * Forwarding while a backend server states that it is leaving, that is, shutting down.
 */
import { RequestKind } from '@lapisbridge/catalog';
import { afterEach, expect, it } from 'vitest';

import { sendRequest } from './caller-fixture.js';
import { respondLeaving, respondWith, startFixture } from './forwarding-fixture.js';
import type { Fixture } from './forwarding-fixture.js';

let fixture: Fixture;

afterEach(() => fixture.close());

it('sends nothing more to a leaving server although it is listed as ready', async () => {
  // Guards against requests that a leaving server can no longer serve.
  fixture = await startFixture({
    servers: { leaving: respondLeaving, other: respondWith('answer') },
    route: { kind: RequestKind.AtMostOnce },
  });
  for (let index = 0; index < 5; index += 1)
    expect((await sendRequest(fixture.port, `id-${index}`)).status).toBe(200);
  const toLeaving = fixture.arrivals.filter(({ instanceId }) => instanceId === 'leaving');
  expect(toLeaving).toHaveLength(1);
});

it('refuses a request at once where every server is leaving', async () => {
  // Guards against holding callers for servers that will not serve them.
  fixture = await startFixture({ servers: { leaving: respondLeaving } });
  await sendRequest(fixture.port, 'first');
  const sentAt = performance.now();
  expect((await sendRequest(fixture.port, 'second')).status).toBe(503);
  expect(performance.now() - sentAt).toBeLessThan(200);
});
