import { describe, expect, it } from 'vitest';

import { isVoidingVersion, leaderVersion, voidingVersionOf } from './map-version.js';
import { HoldEndKind, planHoldEnd } from './plan-hold-end.js';
import type { RankReport } from './rank-report.js';

const PREPARED = leaderVersion(5, 3);
const HOLDING: RankReport = {
  group: 'group',
  rank: 1,
  size: 4,
  epoch: 1,
  isOpen: true,
  step: 104,
  activeVersion: leaderVersion(5, 2),
  preparedVersion: PREPARED,
  armed: undefined,
  heldStep: 105,
  pace: 1,
  running: 1,
  waiting: 0,
};

describe('a rank that holds its group', () => {
  it('voids its prepared map before it releases the hold', () => {
    const version = voidingVersionOf(PREPARED);
    expect(planHoldEnd(HOLDING, 1000)).toEqual({ kind: HoldEndKind.Void, version });
    const voided = { ...HOLDING, preparedVersion: version };
    expect(planHoldEnd(voided, 1000)).toEqual({ kind: HoldEndKind.Release, step: 105 });
  });

  it('releases the hold when nothing is prepared', () => {
    const plan = planHoldEnd({ ...HOLDING, preparedVersion: undefined }, 1000);
    expect(plan).toEqual({ kind: HoldEndKind.Release, step: 105 });
  });

  it.each([
    ['it is armed', { armed: { version: PREPARED, step: 105 } }, 1000],
    ['the group has not reached the pass', { step: 103 }, 1000],
    ['the group is broken', { isOpen: false }, 1000],
    ['nothing is held', { heldStep: undefined }, 1000],
    ['its leader may still act', {}, 100],
  ])('keeps the hold while %s', (_, fields, waited) => {
    expect(planHoldEnd({ ...HOLDING, ...fields }, waited).kind).toBe(HoldEndKind.Keep);
  });
});

it('no leader numbers a map with a voiding version', () => {
  for (let count = 1; count < 10; count += 1) {
    const version = leaderVersion(7, count);
    expect(isVoidingVersion(version)).toBe(false);
    expect(isVoidingVersion(voidingVersionOf(version))).toBe(true);
    expect(voidingVersionOf(version)).toBeLessThan(leaderVersion(7, count + 1));
  }
});
