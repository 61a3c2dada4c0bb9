import { createSilentLogger } from '@lapisbridge/logger';
import { initialMap } from '@lapisbridge/placement';
import type { RankReport } from '@lapisbridge/placement';
import { describe, expect, it } from 'vitest';

import { createGrowthMeter } from './count-growth.js';
import { createDemand } from './demand.js';
import { createDemandWatch } from './demand-watch.js';

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

function start() {
  const clock = { now: 0 };
  const now = (): number => clock.now;
  const demand = createDemand(900, now);
  const recentDemand = createDemand(250, now);
  const watch = createDemandWatch({ demand, recentDemand, logger: createSilentLogger(), now });
  const counts = new Array<number>(EXPERTS).fill(0);
  const meter = createGrowthMeter();
  return {
    clock,
    choose(epoch: number, grown: readonly number[]) {
      for (const [expert, count] of grown.entries()) counts[expert] = (counts[expert] ?? 0) + count;
      const growth = meter.note({ epoch, counts: [...counts] });
      if (growth === undefined) return;
      for (const one of [demand, recentDemand]) one.add(growth);
    },
    consider: (epoch: number) =>
      watch.consider({
        own: { ...REPORT, epoch },
        current: { sets: [initialMap(EXPERTS, RANKS)] },
        profile: PROFILE,
        paces: [1, 1, 1, 1],
      }),
  };
}

describe('a map', () => {
  it('stays while the load is even', async () => {
    const { choose, consider, clock } = start();
    choose(1, EVEN);
    choose(1, EVEN);
    clock.now = 500;
    expect(await consider(1)).toBeUndefined();
  });

  it('is planned after a shift once enough was chosen since', async () => {
    const { choose, consider, clock } = start();
    choose(1, EVEN);
    choose(1, EVEN);
    clock.now = 500;
    await consider(1);
    choose(1, SKEWED);
    expect(await consider(1)).toBeUndefined();
    clock.now = 700;
    choose(1, SKEWED);
    expect(await consider(1)).toBeDefined();
  });

  it('is planned at once when the group has formed anew', async () => {
    // A rank was cut off; the group is back with its first map, and streams that waited for it
    // fill every slot. Each pass takes three times as long until a better map is in force.
    const { choose, consider, clock } = start();
    choose(1, EVEN);
    choose(1, SKEWED);
    clock.now = 300;
    choose(1, SKEWED);
    await consider(1);
    clock.now = 6000;
    choose(2, EVEN);
    expect(await consider(2)).toBeDefined();
  });
});
