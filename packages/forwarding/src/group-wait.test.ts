/**
 * Streams while the lock-step group of their backend servers is down.
 */
import { request } from 'node:http';

import { RequestKind } from '@lapisbridge/catalog';
import { sleep } from '@lapisbridge/kernel';
import { afterEach, expect, it } from 'vitest';

import { startFixture, streamEvents } from './forwarding-fixture.js';
import type { BackendHandler, Fixture } from './forwarding-fixture.js';

let fixture: Fixture;

afterEach(() => fixture.close());

const STREAM = { kind: RequestKind.Streaming, resumable: true };
const GROUPS = {
  one: { group: 'group', epoch: 1, rank: 0, open: true },
  two: { group: 'group', epoch: 1, rank: 1, open: true },
};

function stream(): Promise<{ status: number; body: string; retryAfter: string | undefined }> {
  return new Promise((resolve, reject) => {
    const outgoing = request(
      {
        host: '127.0.0.1',
        port: fixture.port,
        method: 'POST',
        headers: { 'request-id': 'id' },
      },
      (incoming) => {
        let body = '';
        incoming.on('data', (chunk: Buffer) => {
          body += chunk.toString();
        });
        incoming.on('end', () =>
          resolve({
            status: incoming.statusCode ?? 0,
            body,
            retryAfter: incoming.headers['retry-after'],
          }),
        );
      },
    );
    outgoing.on('error', reject);
    outgoing.end('body');
  });
}

function reportRank(rank: number, epoch: number, isOpen: boolean): void {
  fixture.groupHealth.recordReport({ group: 'group', rank, epoch, isOpen });
}

/** Refuses as an engine does whose group is down because of another rank. */
const refuseForGroup: BackendHandler = (incoming, response) => {
  response.writeHead(503, {
    'request-id': String(incoming.headers['request-id']),
    'not-run': '1',
    'faulty-address': '10.0.0.9:80',
    'content-length': 0,
  });
  response.end();
};

it('are held for a group that is likely to recover soon, and sent once it is open', async () => {
  // An entry restarts while a group is down, so the outage may have lasted for a while. If all
  // callers of that second were refused at once, they would retry together or give up.
  fixture = await startFixture({
    servers: { one: streamEvents(2), two: streamEvents(2) },
    route: STREAM,
    groups: GROUPS,
  });
  reportRank(0, 1, false);
  const reply = stream();
  setTimeout(() => reportRank(0, 2, true), 100);
  expect(await reply).toMatchObject({ status: 200, body: 'id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n' });
  expect(fixture.arrivals).toHaveLength(1);
});

it('are refused at once when the outage has just begun and their timeout is short', async () => {
  // The start of the outage is known, and the caller waits for 0.3 s: the group is unlikely to
  // recover within that time.
  fixture = await startFixture({
    servers: { one: streamEvents(2) },
    route: { ...STREAM, timeoutMilliseconds: 700 },
    groups: GROUPS,
  });
  reportRank(0, 1, true);
  reportRank(0, 1, false);
  const { status, retryAfter } = await stream();
  expect(status).toBe(503);
  expect(Number(retryAfter)).toBeGreaterThan(0);
  expect(fixture.arrivals).toHaveLength(0);
});

it('are refused as not run before their callers time out when the group does not recover', async () => {
  fixture = await startFixture({
    servers: { one: streamEvents(2) },
    route: { ...STREAM, timeoutMilliseconds: 700 },
    groups: GROUPS,
  });
  reportRank(0, 1, false);
  const { status, retryAfter } = await stream();
  expect(status).toBe(503);
  expect(Number(retryAfter)).toBeGreaterThan(0);
  expect(fixture.arrivals).toHaveLength(0);
});

it('are not tried at every rank after one refusal has named the cause', async () => {
  // The entry does not know of the outage yet. Trying one rank after the other would use up the
  // retry budget of the whole service within a second.
  fixture = await startFixture({
    servers: { one: refuseForGroup, two: refuseForGroup },
    route: { ...STREAM, timeoutMilliseconds: 700 },
    groups: GROUPS,
  });
  expect((await stream()).status).toBe(503);
  expect(fixture.arrivals).toHaveLength(1);
});

it('wait when the share of a server for this second is used up', async () => {
  // A burst uses up what this entry may send to servers that could be cold. The servers are half
  // empty, and a refused caller would retry later than after a wait of half a second.
  fixture = await startFixture({
    servers: { one: streamEvents(2) },
    route: STREAM,
    coldRequestsPerSecond: 1,
  });
  expect((await stream()).status).toBe(200);
  await sleep(500);
  expect((await stream()).status).toBe(200);
  expect(fixture.arrivals).toHaveLength(2);
});
