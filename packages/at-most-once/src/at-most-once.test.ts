/**
 * Claims under interleaved attempts, lost responses, late writes, paused sidecars and crashes.
 */
import { CallFate, createFakeTable } from '@lapisbridge/test-support';
import { RequestOutcome } from '@lapisbridge/types';
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';

import { ClaimState } from './claim-record.js';
import { ClaimResultKind, createClaimStore } from './claim-store.js';
import type { CallAttempt, ClaimStore } from './claim-store.js';
import { outcomeFromRow, proveNotRun } from './prove-not-run.js';

const ENVIRONMENT = 'test';
const RESULT = { status: 200, contentType: 'text/plain', body: '' };
const OBJECTS = { read: () => Promise.resolve(null), write: () => Promise.resolve() };

let nonce = 0;
function createNonce(): string {
  nonce += 1;
  return `nonce-${nonce}`;
}

function createTestClaimStore(
  table: ReturnType<typeof createFakeTable>,
  instanceId: string,
): ClaimStore {
  return createClaimStore({
    table,
    objects: OBJECTS,
    environment: ENVIRONMENT,
    instanceId,
    createNonce,
  });
}

function call(attempt: string, claimVersion = 0, digest = 'digest'): CallAttempt {
  return { account: 'account', idempotencyKey: 'key', attempt, digest, claimVersion };
}

enum FailurePoint {
  None = 'none',
  BeforeClaim = 'beforeClaim',
  AfterClaim = 'afterClaim',
  AfterDispatch = 'afterDispatch',
}

interface AttemptPlan {
  readonly failurePoint: FailurePoint;
  /** The entry stops waiting and calls `proveNotRun`, as it does when a sidecar is paused. */
  readonly entryProves: boolean;
}

const fates = fc.constantFrom(
  CallFate.Answered,
  CallFate.Answered,
  CallFate.Answered,
  CallFate.AnswerLost,
  CallFate.Late,
  CallFate.Dropped,
);
const plans = fc.array(
  fc.record<AttemptPlan>({
    failurePoint: fc.constantFrom(...Object.values(FailurePoint)),
    entryProves: fc.boolean(),
  }),
  { minLength: 2, maxLength: 4 },
);

describe('at-most-once calls', () => {
  it('executes a call at most once and says "not run" only when it did not run', async () => {
    // A caller retries a booking through several entries. Sidecars crash or pause at any point
    // between claim and dispatch, and the table loses responses or applies writes late. A second
    // execution would book a slot twice; a wrong "not run" would make the caller book elsewhere.
    await fc.assert(
      fc.asyncProperty(
        fc.scheduler(),
        plans,
        fc.infiniteStream(fates),
        fc.infiniteStream(fates),
        async (scheduler, attempts, writeFates, readFates) => {
          const effects: string[] = [];
          const replies: { name: string; outcome: RequestOutcome }[] = [];
          const table = createFakeTable({
            writeFate: () => writeFates.next().value as CallFate,
            readFate: () => readFates.next().value as CallFate,
            pause: (label) => scheduler.schedule(Promise.resolve(), label),
          });

          async function runSidecar(name: string, plan: AttemptPlan): Promise<RequestOutcome> {
            if (plan.failurePoint === FailurePoint.BeforeClaim) return RequestOutcome.Unknown;
            const claims = createTestClaimStore(table, name);
            const won = await claims.claim(call(name));
            if (won.kind === ClaimResultKind.Replay) return RequestOutcome.Done;
            if (won.kind !== ClaimResultKind.Acquired) return RequestOutcome.Unknown;
            if (plan.failurePoint === FailurePoint.AfterClaim) return RequestOutcome.Unknown;
            await scheduler.schedule(Promise.resolve(), 'paused before dispatch');
            effects.push(name);
            if (plan.failurePoint === FailurePoint.AfterDispatch) return RequestOutcome.Unknown;
            await claims.storeOutcome(won.claim, ClaimState.Done, RESULT);
            return RequestOutcome.Done;
          }

          async function runRequest(index: number, plan: AttemptPlan): Promise<void> {
            await scheduler.schedule(Promise.resolve(), 'request');
            const name = `request-${index}`;
            const running = runSidecar(name, plan);
            if (!plan.entryProves) {
              replies.push({ name, outcome: await running });
              return;
            }
            const proof = await proveNotRun(table, ENVIRONMENT, call(name), { createNonce });
            replies.push({ name, outcome: proof.outcome });
            await running;
          }

          const requests = attempts.map((plan, index) => runRequest(index, plan));
          await scheduler.waitFor(Promise.all(requests));
          await scheduler.waitAll();
          expect(effects.length).toBeLessThanOrEqual(1);
          for (const { name, outcome } of replies) {
            if (outcome === RequestOutcome.Done) expect(effects).toHaveLength(1);
            if (outcome === RequestOutcome.NotRun) expect(effects).not.toContain(name);
          }
        },
      ),
      { numRuns: 400 },
    );
  });

  it('recognises its own claim when the response to the write was lost', async () => {
    // The table applied the claim and its response was lost. If the conflict on retry were taken
    // for another sidecar's claim, nobody would run the call and the caller would get no reply.
    let first = true;
    const table = createFakeTable({
      writeFate() {
        const fate = first ? CallFate.AnswerLost : CallFate.Answered;
        first = false;
        return fate;
      },
      readFate: () => CallFate.Answered,
      pause: () => Promise.resolve(),
    });
    const result = await createTestClaimStore(table, 'one').claim(call('a'));
    expect(result.kind).toBe(ClaimResultKind.Acquired);
  });

  it('refuses the claim of an attempt that was proved not run while it was paused', async () => {
    // The entry lost its sidecar, proved "not run" and replied so. Then the sidecar resumes and
    // claims. If the claim succeeded, a booking would exist that its caller was told did not run.
    const table = createFakeTable();
    const proof = await proveNotRun(table, ENVIRONMENT, call('paused'), { createNonce });
    expect(proof.outcome).toBe(RequestOutcome.NotRun);
    const resumed = await createTestClaimStore(table, 'one').claim(call('paused'));
    expect(resumed).toEqual({ kind: ClaimResultKind.Superseded, version: 1 });
    const next = await createTestClaimStore(table, 'two').claim(call('next', 1));
    expect(next.kind).toBe(ClaimResultKind.Acquired);
  });

  it('refuses a key that is reused with a different body', async () => {
    // A caller uses one key for two bookings by mistake. Replaying the first response for the
    // second would make the caller believe that the second slot is booked.
    const table = createFakeTable();
    const claims = createTestClaimStore(table, 'one');
    const won = await claims.claim(call('a'));
    if (won.kind !== ClaimResultKind.Acquired) throw new Error('claim not acquired');
    await claims.storeOutcome(won.claim, ClaimState.Done, RESULT);
    const reused = await claims.claim(call('b', 0, 'other digest'));
    expect(reused).toEqual({ kind: ClaimResultKind.KeyReused, ran: true });
  });

  it('releases a claim only for its holder, and then lets another attempt run', async () => {
    // The service behind the holder refused the connection, so nothing was sent. Without the
    // release the key would stay blocked although the call never ran.
    const table = createFakeTable();
    const winner = createTestClaimStore(table, 'one');
    const won = await winner.claim(call('a'));
    if (won.kind !== ClaimResultKind.Acquired) throw new Error('claim not acquired');
    expect(await winner.release(won.claim)).toBe(true);
    const next = await createTestClaimStore(table, 'two').claim(call('b', won.claim.version + 1));
    expect(next.kind).toBe(ClaimResultKind.Acquired);
    expect(await winner.release(won.claim)).toBe(false);
    const row = table.state.read('claims/test/account/key');
    expect(outcomeFromRow(row).outcome).toBe(RequestOutcome.Running);
  });

  it('invalidates a claim whose write may take effect late', async () => {
    // The write timed out, the sidecar reported "not run", and then the write takes effect.
    // Uncleared, it would make every later attempt with the key wait for an idle sidecar.
    let writes = 0;
    const waiting: (() => void)[] = [];
    const table = createFakeTable({
      writeFate() {
        writes += 1;
        return writes === 1 ? CallFate.Late : CallFate.Answered;
      },
      readFate: () => (writes === 1 ? CallFate.Dropped : CallFate.Answered),
      pause(label) {
        if (label !== 'apply' || writes !== 1) return Promise.resolve();
        return new Promise<void>((resolve) => {
          waiting.push(resolve);
        });
      },
    });
    const claims = createTestClaimStore(table, 'one');
    const result = await claims.claim(call('a'));
    expect(result.kind).toBe(ClaimResultKind.Unavailable);
    writes = 2;
    expect(await claims.abandon(call('a'))).toBe(true);
    for (const apply of waiting) apply();
    await Promise.resolve();
    const row = table.state.read('claims/test/account/key');
    expect(outcomeFromRow(row).outcome).toBe(RequestOutcome.NotRun);
  });
});
