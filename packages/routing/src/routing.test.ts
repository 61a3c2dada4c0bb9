/**
 * Choice of a backend server, subsets and the retry budget.
 */
import { ChoiceRule } from '@lapisbridge/types';
import type { LoadReport } from '@lapisbridge/types';
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';

import { ChoiceKind, ChoiceReason, createRetryBudget, planChoice, planSubset } from './index.js';
import type { Candidate, ChoiceInput } from './index.js';

const LOAD: LoadReport = {
  running: 0,
  queued: 0,
  limit: 10,
  inFlightTokens: 0,
  stepMilliseconds: 20,
  warm: true,
  backendReachable: true,
  storeReachable: true,
  draining: false,
};

function candidate(instanceId: string, load: Partial<LoadReport> = {}, sent = 0): Candidate {
  return {
    instanceId,
    availabilityZone: instanceId.slice(0, 1),
    load: { ...LOAD, ...load },
    changeSinceReport: sent,
  };
}

function input(candidates: readonly Candidate[], given: Partial<ChoiceInput> = {}): ChoiceInput {
  return {
    candidates,
    ownZone: 'a',
    avoidedZone: '',
    affinityKey: '',
    estimatedTokens: 10,
    excluded: new Set(),
    roundRobinIndex: 0,
    policy: {
      choiceRule: ChoiceRule.Estimated,
      hopCostMilliseconds: 2,
      boundedLoadFactor: 1.25,
      sampledChoices: 4,
    },
    random: () => 0.5,
    ...given,
  };
}

function chosen(given: ChoiceInput): string {
  const choice = planChoice(given);
  return choice.kind === ChoiceKind.Chosen ? choice.candidate.instanceId : 'none';
}

describe('choice of a backend server', () => {
  it('prefers its own zone while loads are alike, and leaves it when they are not', () => {
    expect(chosen(input([candidate('b1'), candidate('a1')]))).toBe('a1');
    expect(chosen(input([candidate('b1'), candidate('a1', { running: 25 })]))).toBe('b1');
  });

  it('counts what it has sent since the last report', () => {
    // Reports lag. An entry that believed them alone would send every request of the next second
    // to the server that was idle a second ago, and callers there would wait in its queue.
    expect(chosen(input([candidate('a1', {}, 25), candidate('a2', { running: 8 })]))).toBe('a2');
  });

  it('keeps requests with a shared preamble together until the preferred is loaded', () => {
    const servers = ['a1', 'a2', 'a3', 'a4'].map((name) => candidate(name));
    const preferred = chosen(input(servers, { affinityKey: 'preamble' }));
    const busy = servers.map((one) =>
      one.instanceId === preferred ? candidate(preferred, { running: 9 }) : one,
    );
    const choice = planChoice(input(busy, { affinityKey: 'preamble' }));
    if (choice.kind !== ChoiceKind.Chosen) throw new Error('none chosen');
    expect(choice.reason).toBe(ChoiceReason.LeastEstimatedTime);
    expect(choice.candidate.instanceId).not.toBe(preferred);
  });

  it('does not follow affinity to a slow server', () => {
    // One runner steps four times slower than the others. Affinity that ignored it would hold
    // back every request that shares a preamble with the first one sent there.
    const servers = ['a1', 'a2', 'a3', 'a4'].map((name) => candidate(name));
    const preferred = chosen(input(servers, { affinityKey: 'preamble' }));
    const slow = servers.map((one) =>
      one.instanceId === preferred ? candidate(preferred, { stepMilliseconds: 80 }) : one,
    );
    expect(chosen(input(slow, { affinityKey: 'preamble' }))).not.toBe(preferred);
  });

  it('gives work to a server whose speed is not known', () => {
    // A zone returns after an outage, its servers idle and without a step time. Judged by the
    // document's expected time they looked slower than the busy ones and never got any work.
    const busy = candidate('a1', { running: 6, stepMilliseconds: 8 });
    expect(chosen(input([busy, candidate('a2', { stepMilliseconds: 0 })]))).toBe('a2');
  });

  it('keeps a streamed answer out of its entry’s own zone while others have room', () => {
    // A zone dies at once. If entry and sidecar of an answer stood in it together, nobody would
    // hold the text that the caller already has, and the answer could not be resumed.
    const far = input([candidate('a1'), candidate('b1', { running: 3 })], { avoidedZone: 'a' });
    expect(chosen(far)).toBe('b1');
    const full = input([candidate('a1'), candidate('b1', { running: 9 })], { avoidedZone: 'a' });
    expect(chosen(full)).toBe('a1');
  });

  it('never chooses what was tried already', () => {
    const given = input([candidate('a1')], { excluded: new Set(['a1']) });
    expect(planChoice(given)).toEqual({ kind: ChoiceKind.NoneLeft, tried: 1 });
  });
});

describe('the subset of an entry', () => {
  it('survives the loss of any one zone and stays within its size', () => {
    // An entry connected only to its own zone would have nowhere to go when that zone goes down.
    const zones = ['a', 'b', 'c'];
    const members = fc.uniqueArray(
      fc.record({ instanceId: fc.uuid(), availabilityZone: fc.constantFrom(...zones) }),
      { minLength: 1, maxLength: 60, selector: ({ instanceId }) => instanceId },
    );
    fc.assert(
      fc.property(members, fc.integer({ min: 3, max: 24 }), (given, size) => {
        const subset = planSubset('entry', 'a', given, size);
        expect(subset.size).toBe(Math.min(size, given.length));
        for (const zone of zones) {
          const elsewhere = given.filter((one) => one.availabilityZone !== zone);
          const kept = elsewhere.filter(({ instanceId }) => subset.has(instanceId));
          if (elsewhere.length > 0) expect(kept.length).toBeGreaterThan(0);
        }
      }),
    );
  });

  it('moves few connections when one server goes', () => {
    const members = Array.from({ length: 60 }, (_, index) => ({
      instanceId: `server-${index}`,
      availabilityZone: 'abc'[index % 3] ?? 'a',
    }));
    const before = planSubset('entry', 'a', members, 12);
    const lost = [...before][0] ?? '';
    const after = planSubset(
      'entry',
      'a',
      members.filter(({ instanceId }) => instanceId !== lost),
      12,
    );
    const added = [...after].filter((name) => !before.has(name));
    expect(added.length).toBe(1);
  });
});

describe('the retry budget', () => {
  it('allows a tenth of extra attempts, and a small reserve', () => {
    // Servers refuse because they are overloaded. Unlimited retries would double the load that
    // made them refuse, until nothing useful gets through.
    const budget = createRetryBudget(0.1, 5);
    let retries = 0;
    for (let request = 0; request < 1000; request += 1) {
      budget.deposit();
      if (budget.tryWithdraw()) retries += 1;
    }
    expect(retries).toBeGreaterThanOrEqual(100);
    expect(retries).toBeLessThanOrEqual(106);
  });
});
