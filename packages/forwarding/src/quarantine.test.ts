/**
 * Forwarding of requests with a prompt part that crashes backend servers.
 */
import { RequestKind } from '@lapisbridge/catalog';
import { sleep } from '@lapisbridge/kernel';
import { afterEach, expect, it } from 'vitest';

import { sendRequest } from './caller-fixture.js';
import { respondWith, startFixture, streamEvents } from './forwarding-fixture.js';
import type { Fixture } from './forwarding-fixture.js';

let fixture: Fixture;

afterEach(() => fixture.close());

const EVIDENCE = { suspects: ['bad'], requests: [], isSilent: false };

/** Makes the entry blame the part. */
async function quarantine(): Promise<void> {
  const now = performance.now();
  fixture.crashLedger.recordCrash({ server: 'ended-1', endedAt: now - 9000, ...EVIDENCE });
  fixture.crashLedger.recordCrash({ server: 'ended-2', endedAt: now - 5000, ...EVIDENCE });
  await sleep(0);
}

const KINDS = [
  ['streams', RequestKind.Streaming],
  ['at-most-once requests', RequestKind.AtMostOnce],
  ['idempotent requests', RequestKind.Idempotent],
] as const;

it.each(KINDS)('refuses %s with a quarantined part at once, and serves others', async (_, kind) => {
  // Guards against requests of one kind that end one server after the other.
  const serve = kind === RequestKind.Streaming ? streamEvents(3) : respondWith('answer');
  fixture = await startFixture({ servers: { one: serve, two: serve }, route: { kind } });
  await quarantine();
  const refused = await sendRequest(fixture.port, 'refused', ['aa', 'bad', 'own']);
  expect(refused.status).toBe(503);
  expect(refused.milliseconds).toBeLessThan(200);
  expect(fixture.arrivals).toHaveLength(0);
  expect((await sendRequest(fixture.port, 'sound', ['aa', 'c1', 'own'])).status).toBe(200);
  expect((await sendRequest(fixture.port, 'last', ['aa', 'bad'])).status).toBe(200);
});

it.each(KINDS)('takes back %s that wait at a server when a part is blamed', async (_, kind) => {
  // Guards against requests that crash a server after their part is known.
  fixture = await startFixture({
    servers: { one: () => undefined, two: () => undefined },
    route: { kind, resumable: true },
  });
  const waiting = sendRequest(fixture.port, 'waiting', ['aa', 'bad', 'own']);
  await sleep(50);
  expect(fixture.arrivals.length).toBeGreaterThan(0);
  const arrived = fixture.arrivals.length;
  await quarantine();
  expect((await waiting).status).toBe(502);
  expect(fixture.arrivals).toHaveLength(arrived);
});

it('wakes a stream that waits for its group, and refuses it', async () => {
  const group = { group: 'group', epoch: 1, rank: 0, open: false };
  fixture = await startFixture({
    servers: { one: streamEvents(3) },
    groups: { one: group },
    route: { kind: RequestKind.Streaming, timeoutMilliseconds: 5000 },
  });
  for (const isOpen of [true, false]) fixture.groupHealth.recordReport({ ...group, isOpen });
  const waiting = sendRequest(fixture.port, 'waiting', ['aa', 'bad', 'own']);
  await sleep(50);
  await quarantine();
  const { status, milliseconds } = await waiting;
  expect(status).toBe(503);
  expect(milliseconds).toBeLessThan(500);
});

it('blames a part whose requests end two servers, and no other part', async () => {
  fixture = await startFixture({
    servers: {
      one: (incoming) => fixture.end(String(incoming.headers['server-id'])),
      two: (incoming) => fixture.end(String(incoming.headers['server-id'])),
      three: streamEvents(3),
    },
    route: { kind: RequestKind.Streaming },
  });
  await sendRequest(fixture.port, 'first', ['aa', 'bad', 'own-1']);
  await sleep(700);
  await sendRequest(fixture.port, 'second', ['aa', 'bad', 'own-2']);
  await sleep(100);
  expect((await sendRequest(fixture.port, 'sound', ['aa', 'c1', 'own-3'])).status).toBe(200);
  await sleep(1000);
  expect((await sendRequest(fixture.port, 'third', ['aa', 'bad', 'own-4'])).status).toBe(503);
  expect((await sendRequest(fixture.port, 'fourth', ['aa', 'c1', 'own-5'])).status).toBe(200);
  expect(fixture.crashLedger.quarantinedParts()).toEqual(['bad']);
});
