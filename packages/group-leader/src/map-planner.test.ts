import { createSilentLogger } from '@lapisbridge/logger';
import { initialMap } from '@lapisbridge/placement';
import type { RankReport } from '@lapisbridge/placement';
import { describe, expect, it } from 'vitest';

import { createCountDeltaTracker } from './count-delta.js';
import { createDemandWindow } from './demand.js';
import { createMapPlanner } from './map-planner.js';

const RANKS = 4;
const EXPERTS = 8;
const PROFILE = { sets: 1, experts: EXPERTS, placesPerRank: 3, newPerRank: 1 };
const EVEN = new Array<number>(EXPERTS).fill(200_000);
const SKEWED = EVEN.map((count, expert) => (expert === 0 ? 3_000_000 : count));

const REPORT: RankReport = {
  group: 'group',
  rank: 0,
  size: RANKS,
  epoch: 1,
  isOpen: true,
  step: 1,
  activeVersion: 0,
  preparedVersion: undefined,
  armed: undefined,
  heldStep: undefined,
  pace: 1,
  running: 0,
  waiting: 0,
};

function createFixture() {
  const clock = { now: 0 };
  const now = (): number => clock.now;
  const demand = createDemandWindow(900, now);
  const recentDemand = createDemandWindow(250, now);
  const planner = createMapPlanner({ demand, recentDemand, logger: createSilentLogger(), now });
  const counts = new Array<number>(EXPERTS).fill(0);
  const deltaTracker = createCountDeltaTracker();
  return {
    clock,
    select(epoch: number, increments: readonly number[]) {
      for (const [expert, count] of increments.entries())
        counts[expert] = (counts[expert] ?? 0) + count;
      const delta = deltaTracker.update({ epoch, counts: [...counts] });
      if (delta === undefined) return;
      for (const one of [demand, recentDemand]) one.add(delta);
    },
    plan: (epoch: number, slowdownFactors = [1, 1, 1, 1]) =>
      planner.plan({
        ownReport: { ...REPORT, epoch },
        current: { sets: [initialMap(EXPERTS, RANKS)] },
        profile: PROFILE,
        slowdownFactors,
      }),
  };
}

describe('map planner', () => {
  it('keeps the map while the load is even', async () => {
    const { select, plan, clock } = createFixture();
    select(1, EVEN);
    select(1, EVEN);
    clock.now = 500;
    expect(await plan(1)).toBeUndefined();
  });

  it('plans a map after a shift, once enough selections were made since', async () => {
    const { select, plan, clock } = createFixture();
    select(1, EVEN);
    select(1, EVEN);
    clock.now = 500;
    await plan(1);
    select(1, SKEWED);
    expect(await plan(1)).toBeUndefined();
    clock.now = 700;
    select(1, SKEWED);
    expect(await plan(1)).toBeDefined();
  });

  it('plans a map at once when a rank turns slow', async () => {
    // Guards against collecting selections anew although the demand is as before: every pass takes
    // as long as the slow rank meanwhile.
    const { select, plan, clock } = createFixture();
    select(1, EVEN);
    select(1, EVEN);
    clock.now = 500;
    await plan(1);
    clock.now = 600;
    select(1, EVEN);
    expect(await plan(1, [1, 1, 1, 3])).toBeDefined();
  });

  it('plans a map at once when the group has formed again', async () => {
    // A rank was disconnected and the group formed again on its initial map. Streams that waited
    // occupy every slot, and each pass takes three times as long until a better map is active.
    const { select, plan, clock } = createFixture();
    select(1, EVEN);
    select(1, SKEWED);
    clock.now = 300;
    select(1, SKEWED);
    await plan(1);
    clock.now = 6000;
    select(2, EVEN);
    expect(await plan(2)).toBeDefined();
  });
});
