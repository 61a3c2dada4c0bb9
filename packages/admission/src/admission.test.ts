/**
 * The adaptive concurrency limit, admission, reserved slots and the fair queue.
 */
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';

import {
  AdmissionKind,
  createFairQueue,
  createSlotShares,
  BackendObservationKind,
  initialLimit,
  planAdmission,
  planLimit,
  RefusalReason,
} from './index.js';
import type { AdmissionInput, BackendObservation, LimitState } from './index.js';

const POLICY = { coldConcurrency: 2, maximumConcurrency: 32, expectedStepMilliseconds: 20 };
const WARM: BackendObservation = { kind: BackendObservationKind.Reported, warm: true };
const COLD: BackendObservation = { kind: BackendObservationKind.Reported, warm: false };

function applyAll(
  observations: readonly BackendObservation[],
  from = initialLimit(POLICY),
): LimitState {
  return observations.reduce((state, one) => planLimit(state, one, POLICY), from);
}

function steps(count: number, milliseconds: number, running: number): BackendObservation[] {
  return Array.from({ length: count }, () => ({
    kind: BackendObservationKind.Step,
    milliseconds,
    running,
  }));
}

describe('the limit of a backend server', () => {
  it('starts at the cold concurrency and grows only while a warm engine is fast under load', () => {
    // A server that has just started fails under full load, and all its answers are lost.
    expect(applyAll(steps(1000, 20, 2)).limit).toBe(2);
    expect(applyAll([WARM, ...steps(1000, 20, 0)]).limit).toBe(2);
    expect(applyAll([WARM, ...steps(100, 20, 2)]).limit).toBeGreaterThan(2);
    expect(applyAll([WARM, ...steps(5000, 20, 32)]).limit).toBe(32);
  });

  it('drops to the cold concurrency when a warm engine turns cold or is lost', () => {
    const grown = applyAll([WARM, ...steps(5000, 20, 32)]);
    expect(applyAll([COLD], grown).limit).toBe(2);
    expect(applyAll([{ kind: BackendObservationKind.Lost }], grown).limit).toBe(2);
    expect(
      applyAll([{ kind: BackendObservationKind.Lost }, ...steps(5000, 20, 32)], grown).limit,
    ).toBe(2);
  });

  it('drops after several slow steps in a row, before any report shows them', () => {
    const grown = applyAll([WARM, ...steps(5000, 20, 32)]);
    expect(applyAll(steps(20, 90, 32), grown).limit).toBeLessThanOrEqual(4);
    expect(applyAll(steps(2, 90, 32), grown).limit).toBe(32);
  });

  it('uses the first observed step time instead of the configured estimate', () => {
    // Guards against a step time that keeps most of the configured 200 ms: servers that had seen
    // few calls looked far slower than one that had seen many, which got nearly all calls.
    expect(applyAll(steps(1, 3, 1)).stepMilliseconds).toBe(3);
    expect(applyAll([...steps(1, 3, 1), ...steps(1, 5, 1)]).stepMilliseconds).toBe(4);
  });

  it('stays within its bounds', () => {
    const observations = fc.oneof(
      fc.record({
        kind: fc.constant(BackendObservationKind.Reported as const),
        warm: fc.boolean(),
      }),
      fc.record({
        kind: fc.constant(BackendObservationKind.Step as const),
        milliseconds: fc.integer({ min: 0, max: 200 }),
        running: fc.nat(40),
      }),
      fc.constant<BackendObservation>({ kind: BackendObservationKind.Lost }),
    );
    fc.assert(
      fc.property(fc.array(observations, { maxLength: 300 }), (given) => {
        const { limit } = applyAll(given);
        expect(limit).toBeGreaterThanOrEqual(2);
        expect(limit).toBeLessThanOrEqual(32);
      }),
    );
  });
});

const IDLE: AdmissionInput = {
  isSlotFree: true,
  limit: 4,
  queued: 0,
  queuedTokens: 0,
  runningTokens: 0,
  stepMilliseconds: 10,
  requestTokens: 100,
  remainingMilliseconds: 60_000,
  maximumQueued: 8,
  queueMilliseconds: 2000,
  minimumRetryAfterMilliseconds: 1000,
};

describe('admission', () => {
  it('starts, queues, or refuses immediately with a retry delay', () => {
    expect(planAdmission(IDLE).kind).toBe(AdmissionKind.Start);
    const full = { ...IDLE, isSlotFree: false, runningTokens: 400 };
    expect(planAdmission(full).kind).toBe(AdmissionKind.Queue);
    const crowded = planAdmission({ ...full, queued: 8, queuedTokens: 800 });
    expect(crowded).toMatchObject({
      kind: AdmissionKind.Refuse,
      reason: RefusalReason.QueueFull,
      retryAfterMilliseconds: 2500,
    });
  });

  it('refuses a request that cannot finish before its deadline', () => {
    // Admitting it would take a slot from a request that can still be answered in time, and the
    // caller would learn only at its deadline that there is no answer.
    const late = planAdmission({ ...IDLE, remainingMilliseconds: 500 });
    expect(late).toMatchObject({
      kind: AdmissionKind.Refuse,
      reason: RefusalReason.DeadlineTooShort,
    });
  });
});

describe('slot shares', () => {
  it('reserve a slot for a small account while a large one asks for all of them', () => {
    // Eight drafts of one account fill a server and end together. A request of a small account that
    // arrives just after they start would wait for all of them.
    const shares = createSlotShares();
    shares.requestArrived('small', 0);
    let running = 0;
    while (shares.mayStart('large', running, 8, 1)) {
      shares.requestStarted('large', 1);
      running += 1;
    }
    expect(running).toBe(7);
    expect(shares.mayStart('small', running, 8, 1)).toBe(true);
  });

  it('leave all slots to the only active account', () => {
    const shares = createSlotShares();
    shares.requestArrived('small', 0);
    shares.requestStarted('large', 20_000);
    expect(shares.mayStart('large', 7, 8, 20_000)).toBe(true);
    expect(shares.mayStart('large', 8, 8, 20_000)).toBe(false);
  });
});

describe('the fair queue', () => {
  it('serves a small account soon although a large one has queued a thousand requests', () => {
    const queue = createFairQueue();
    for (let index = 0; index < 1000; index += 1) {
      queue.push({ account: 'large', weight: 1, tokens: 200 });
    }
    queue.push({ account: 'small', weight: 1, tokens: 200 });
    const first = [queue.shift(), queue.shift(), queue.shift()].map((one) => one?.account);
    expect(first).toContain('small');
  });

  it('alternates between accounts whose requests are short', () => {
    // With a quantum of 256 tokens a large account started eight drafts of 30 tokens before the
    // next one of a small account, which waited four times as long as without the large account.
    const queue = createFairQueue();
    for (let index = 0; index < 100; index += 1) {
      queue.push({ account: 'large', weight: 1, tokens: 30 });
      if (index < 10) queue.push({ account: 'small', weight: 1, tokens: 30 });
    }
    const first = Array.from({ length: 20 }, () => queue.shift()?.account);
    expect(first.filter((account) => account === 'small').length).toBeGreaterThanOrEqual(9);
  });

  it('gives tokens in proportion to weights and loses nothing', () => {
    const requests = fc.array(
      fc.record({
        account: fc.constantFrom('a', 'b', 'c'),
        weight: fc.constant(1),
        tokens: fc.integer({ min: 1, max: 2000 }),
      }),
      { maxLength: 100 },
    );
    fc.assert(
      fc.property(requests, (given) => {
        const queue = createFairQueue();
        for (const one of given) queue.push(one);
        expect(queue.tokens).toBe(given.reduce((sum, { tokens }) => sum + tokens, 0));
        const served = given.map(() => queue.shift());
        expect(new Set(served)).toEqual(new Set(given));
        expect([queue.size, queue.tokens, queue.shift()]).toEqual([0, 0, undefined]);
      }),
    );
  });
});
