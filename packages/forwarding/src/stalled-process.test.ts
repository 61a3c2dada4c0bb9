import { RequestKind } from '@lapisbridge/catalog';
import { afterEach, expect, it } from 'vitest';

import { sendRequest } from './caller-fixture.js';
import { answerWith, startFixture } from './forwarding-fixture.js';
import type { Fixture } from './forwarding-fixture.js';

/** Longer than a connection may take. */
const STALL_MILLISECONDS = 350;

let fixture: Fixture;

afterEach(() => fixture.close());

function stall(): void {
  const end = performance.now() + STALL_MILLISECONDS;
  while (performance.now() < end);
}

it('uses a connection that was made while the process stood still', async () => {
  // Guards against callers that are refused, with servers free, whenever an entry stalls.
  fixture = await startFixture({
    servers: { one: answerWith('whole') },
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
