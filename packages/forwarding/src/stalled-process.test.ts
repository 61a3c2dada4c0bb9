/**
 * Forwarding by an entry whose event loop is blocked while it connects to a backend server.
 */
import { RequestKind } from '@lapisbridge/catalog';
import { afterEach, expect, it } from 'vitest';

import { sendRequest } from './caller-fixture.js';
import { respondWith, startFixture } from './forwarding-fixture.js';
import type { Fixture } from './forwarding-fixture.js';

/** Longer than connecting may take. */
const STALL_MILLISECONDS = 350;

let fixture: Fixture;

afterEach(() => fixture.close());

function stall(): void {
  const end = performance.now() + STALL_MILLISECONDS;
  while (performance.now() < end);
}

it('uses a connection that was established while the process was blocked', async () => {
  // Guards against refusing callers, with servers free, whenever the event loop of an entry is
  // blocked.
  fixture = await startFixture({
    servers: { one: respondWith('whole') },
    route: { kind: RequestKind.Idempotent, latencyObjectiveMilliseconds: 60_000 },
  });
  const { logger } = fixture;
  const { decision } = logger;
  let hasStalled = false;
  Object.assign(logger, {
    decision(line: Parameters<typeof decision>[0]) {
      decision(line);
      if (line.kind !== 'routing' || hasStalled) return;
      hasStalled = true;
      setImmediate(stall);
    },
  });
  expect((await sendRequest(fixture.port, 'stalled')).status).toBe(200);
  expect(hasStalled).toBe(true);
});
