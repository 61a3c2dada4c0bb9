/**
 * Requests while one of their backend servers says that it leaves.
 */
import { request } from 'node:http';

import { RequestKind } from '@lapisbridge/catalog';
import { afterEach, expect, it } from 'vitest';

import { answerLeaving, answerWith, startFixture } from './forwarding-fixture.js';
import type { Fixture } from './forwarding-fixture.js';

let fixture: Fixture;

afterEach(() => fixture.close());

function send(id: string): Promise<number> {
  return new Promise((resolve, reject) => {
    const headers = { 'request-id': id };
    const outgoing = request(
      { host: '127.0.0.1', port: fixture.port, method: 'POST', headers },
      (incoming) => {
        incoming.resume();
        incoming.on('end', () => resolve(incoming.statusCode ?? 0));
      },
    );
    outgoing.on('error', reject);
    outgoing.end('body');
  });
}

it('sends nothing more to a server that leaves, though it is listed as ready', async () => {
  // Guards against requests that a leaving server is too late to serve.
  fixture = await startFixture({
    servers: { leaving: answerLeaving, other: answerWith('answer') },
    route: { kind: RequestKind.AtMostOnce },
  });
  for (let index = 0; index < 5; index += 1) expect(await send(`id-${index}`)).toBe(200);
  const toLeaving = fixture.arrivals.filter(({ instanceId }) => instanceId === 'leaving');
  expect(toLeaving).toHaveLength(1);
});

it('refuses a request at once where every server leaves', async () => {
  // Guards against callers that wait for servers that will not serve them.
  fixture = await startFixture({ servers: { leaving: answerLeaving } });
  await send('first');
  const sentAt = performance.now();
  expect(await send('second')).toBe(503);
  expect(performance.now() - sentAt).toBeLessThan(200);
});
