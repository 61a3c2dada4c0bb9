import type { BackendServer } from '@lapisbridge/catalog';
import { expect, it } from 'vitest';

import { createServerLedger, judgeRefusal, Verdict } from './server-ledger.js';

const SERVER: BackendServer = {
  instanceId: 'server',
  service: 'service',
  host: 'host',
  port: 1,
  availabilityZone: 'zone',
  slots: 8,
  draining: false,
  groupRank: undefined,
  startedAt: undefined,
};

it('doubts a server after a failure, less after a sound answer, and no less after a request given up', () => {
  const ledger = createServerLedger(() => 0);
  const limits = {
    limitedForMilliseconds: 0,
    backoffMilliseconds: 0,
    brokenForMilliseconds: undefined,
    isSilent: false,
  };
  const suspicionAfter = (verdict: Verdict): number => {
    ledger.sent(SERVER.instanceId, 0);
    ledger.ended(SERVER.instanceId, verdict, 0, false);
    return ledger.view(SERVER, limits, 1).decayedFailures;
  };
  const doubt = suspicionAfter(Verdict.Failing);
  expect(doubt).toBeGreaterThan(0);
  expect(suspicionAfter(Verdict.Open)).toBe(doubt);
  expect(suspicionAfter(Verdict.Sound)).toBeLessThan(doubt);
});

it('doubts a server that refuses with slots free, and not one that is full or tells no load', () => {
  // Guards against a server that sheds all load and draws every request as the least loaded one.
  let now = 0;
  const ledger = createServerLedger(() => now);
  const verdict = (): Verdict => judgeRefusal(ledger.hasRoom(SERVER));
  expect(verdict()).toBe(Verdict.Open);
  ledger.reported(SERVER.instanceId, { running: 7, waiting: 0 });
  expect(verdict()).toBe(Verdict.Failing);
  ledger.reported(SERVER.instanceId, { running: 7, waiting: 1 });
  expect(verdict()).toBe(Verdict.Open);
  ledger.reported(SERVER.instanceId, { running: 0, waiting: 0 });
  now = 60_000;
  expect(verdict()).toBe(Verdict.Open);
});
