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

it.each([RequestKind.AtMostOnce, RequestKind.Streaming])(
  'does not take an answer for complete that ends with a draining server (%s)',
  async (kind) => {
    // Guards against half an answer, complete by its framing, of a server that is gone early.
    fixture = await startFixture({
      servers: {
        draining(incoming) {
          const server = fixture.catalog.servers().servers.get('draining');
          if (server === undefined) throw new Error('the server is not listed');
          const servers = new Map([['draining', { ...server, draining: true }]]);
          fixture.catalog.replaceServers({ revision: 2, servers });
          incoming.socket.write(
            'HTTP/1.1 200 OK\r\nrequest-id: request\r\nsignature: signed\r\n\r\nid: 1\ndata: 1\n\n',
            () => fixture.end('draining'),
          );
        },
      },
      route: { kind },
    });
    const isWhole = await sendRequest(fixture.port, 'request').then(
      ({ status }) => status === 200,
      () => false,
    );
    expect(isWhole).toBe(false);
  },
);
