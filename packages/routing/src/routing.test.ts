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
    // Reports lag. An entry that used them alone would send every request of the next second to the
    // server that was idle a second ago, and callers would wait in its queue.
    expect(chosen(input([candidate('a1', {}, 25), candidate('a2', { running: 8 })]))).toBe('a2');
  });

  it('keeps requests with a shared preamble together until the preferred server is loaded', () => {
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
    // One server's steps take four times as long as the others'. Affinity that ignored this would
    // delay every request that shares the preamble.
    const servers = ['a1', 'a2', 'a3', 'a4'].map((name) => candidate(name));
    const preferred = chosen(input(servers, { affinityKey: 'preamble' }));
    const slow = servers.map((one) =>
      one.instanceId === preferred ? candidate(preferred, { stepMilliseconds: 80 }) : one,
    );
    expect(chosen(input(slow, { affinityKey: 'preamble' }))).not.toBe(preferred);
  });

  it('gives work to a server whose speed is not known', () => {
    // After the outage of a zone its servers are idle and have no step time yet. When the
    // configured time was used instead, they looked slower than the busy servers and never got any
    // requests.
    const busy = candidate('a1', { running: 6, stepMilliseconds: 8 });
    expect(chosen(input([busy, candidate('a2', { stepMilliseconds: 0 })]))).toBe('a2');
  });

  it('keeps a streamed answer out of its entry’s own zone while others have capacity', () => {
    // A whole zone can fail at once. If both the entry and the sidecar of an answer were in it,
    // nothing would hold the text that the caller has received, and the answer could not be
    // resumed.
    const far = input([candidate('a1'), candidate('b1', { running: 3 })], { avoidedZone: 'a' });
    expect(chosen(far)).toBe('b1');
    const full = input([candidate('a1'), candidate('b1', { running: 9 })], { avoidedZone: 'a' });
    expect(chosen(full)).toBe('a1');
  });

  it('never chooses a server that was already tried', () => {
    const given = input([candidate('a1')], { excluded: new Set(['a1']) });
    expect(planChoice(given)).toEqual({ kind: ChoiceKind.NoneLeft, tried: 1 });
  });
});

describe('the subset of an entry', () => {
  it('survives the loss of any one zone and stays within its size', () => {
    // An entry connected only to its own zone would have no server left when that zone fails.
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

  it('replaces only one connection when a server is removed', () => {
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
    // Servers refuse because they are overloaded. Unlimited retries would double that load, until
    // no useful work is done.
    const budget = createRetryBudget({ ratio: () => 0.1, reserve: 5, now: () => 0 });
    let retries = 0;
    for (let request = 0; request < 1000; request += 1) {
      budget.deposit();
      if (budget.tryWithdraw()) retries += 1;
    }
    expect(retries).toBeGreaterThanOrEqual(100);
    expect(retries).toBeLessThanOrEqual(106);
  });

  it('grants a new process one retry, not the reserve again', () => {
    // Guards against entries that are restarted in series and retry far more than the budget.
    let retries = 0;
    for (let life = 0; life < 5; life += 1) {
      const budget = createRetryBudget({ ratio: () => 0.1, now: () => life * 400 });
      while (budget.tryWithdraw()) retries += 1;
    }
    expect(retries).toBe(5);
  });

  it('earns its reserve once, and keeps what is saved when the ratio changes', () => {
    let now = 0;
    let ratio = 0.1;
    const budget = createRetryBudget({ ratio: () => ratio, now: () => now });
    const withdrawAll = (): number => {
      let retries = 0;
      while (budget.tryWithdraw()) retries += 1;
      return retries;
    };
    expect(withdrawAll()).toBe(1);
    now = 5000;
    expect(withdrawAll()).toBe(4);
    now = 60_000;
    expect(withdrawAll()).toBe(5);
    now = 120_000;
    expect(withdrawAll()).toBe(0);
    ratio = 0.5;
    expect(withdrawAll()).toBe(0);
    for (let request = 0; request < 4; request += 1) budget.deposit();
    expect(withdrawAll()).toBe(2);
  });
});
