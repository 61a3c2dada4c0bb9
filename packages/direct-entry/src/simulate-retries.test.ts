import { createRetryBudgetShare, RetryCause } from '@lapisbridge/forwarding';
import { createRandom } from '@lapisbridge/kernel';
import { createSilentLogger } from '@lapisbridge/logger';
import { expect, it } from 'vitest';

import { createEntryCountPeak, planRetrySharers } from './plan-entries.js';
import { simulateRetries, Traffic } from './simulate-retries.js';
import type { RetrySimulation, SimulatedBudget, SimulatedProcess } from './simulate-retries.js';

const LIMITS = { ratio: 0.2, slack: 90, windowMilliseconds: 10_000 };
const SERVICE = 'service';
const BACKEND_SERVERS = 12;
const logger = createSilentLogger();

function createBudget({ knownEntries, startedAt, now }: SimulatedProcess): SimulatedBudget {
  const peak = createEntryCountPeak(now);
  const budget = createRetryBudgetShare({
    bounds: () => LIMITS,
    entries() {
      peak.observe(knownEntries());
      return planRetrySharers(peak.highest(), BACKEND_SERVERS);
    },
    logger,
    startedAt,
    now,
  });
  return {
    recordRequest: () => budget.recordRequest(SERVICE),
    trySpend: () => budget.trySpend(SERVICE, RetryCause.Lost),
  };
}

/** Retries beyond the budget in the worst window; at most 0 if the budget is kept. */
function excessOf(played: Partial<RetrySimulation>, seed: number): number {
  const worst = simulateRetries({
    entries: 7,
    requestsPerSecond: 80,
    traffic: Traffic.Even,
    milliseconds: 30_000,
    failingFrom: 12_000,
    kills: [],
    cuts: [],
    limits: LIMITS,
    random: createRandom(seed),
    createBudget,
    ...played,
  });
  return worst === undefined ? 0 : worst.retries - worst.allowed;
}

const SEEDS = [1, 2, 3, 4, 5];

/** Kills all entries `lives` times within ten seconds, one shortly after the other. */
function killAll(lives: number, entries: number): RetrySimulation['kills'] {
  const kills: { at: number; entry: number }[] = [];
  for (let life = 0; life < lives; life += 1) {
    for (let entry = 0; entry < entries; entry += 1) {
      kills.push({ at: 14_000 + (life * 9000) / lives + entry * 20, entry });
    }
  }
  return kills;
}

it.each([
  [2, 80],
  [4, 80],
  [5, 80],
  [2, 2],
  [4, 2],
])(
  'retries stay within the budget while every entry is killed %i times in a window at %i requests a second',
  (lives, requestsPerSecond) => {
    for (const seed of SEEDS) {
      const excess = excessOf({ kills: killAll(lives, 7), requestsPerSecond }, seed);
      expect(excess, `seed ${seed}`).toBeLessThanOrEqual(0);
    }
  },
);

it.each([80, 2])(
  'retries stay within the budget while former and new processes overlap at %i requests a second',
  (requestsPerSecond) => {
    for (const seed of SEEDS) {
      const kills = killAll(3, 7);
      const excess = excessOf({ kills, requestsPerSecond, overlapMilliseconds: 2500 }, seed);
      expect(excess, `seed ${seed}`).toBeLessThanOrEqual(0);
    }
  },
);

it.each([
  [2, 80],
  [3, 80],
  [2, 2],
  [3, 2],
])(
  'retries stay within the budget while %i sides of a long cut serve %i requests a second',
  (sides, requestsPerSecond) => {
    for (const seed of SEEDS) {
      const excess = excessOf(
        {
          entries: 9,
          requestsPerSecond,
          milliseconds: 70_000,
          failingFrom: 45_000,
          cuts: [{ from: 5000, to: 70_000, sides }],
        },
        seed,
      );
      expect(excess, `seed ${seed}`).toBeLessThanOrEqual(0);
    }
  },
);

it.each([2, 3])(
  'retries stay within the budget when entries restart on %i sides of a cut',
  (sides) => {
    for (const seed of SEEDS) {
      const excess = excessOf(
        {
          requestsPerSecond: 20,
          cuts: [{ from: 1000, to: 30_000, sides }],
          kills: killAll(1, 7).map(({ entry }) => ({ at: 3000, entry })),
        },
        seed,
      );
      expect(excess, `seed ${seed}`).toBeLessThanOrEqual(0);
    }
  },
);

it.each([Traffic.Single, Traffic.Moving])(
  'retries stay within the budget with %s traffic of many and of few requests',
  (traffic) => {
    for (const seed of SEEDS) {
      for (const requestsPerSecond of [300, 80, 2]) {
        const excess = excessOf({ traffic, requestsPerSecond }, seed);
        expect(excess, `seed ${seed}, ${requestsPerSecond} a second`).toBeLessThanOrEqual(0);
      }
    }
  },
);

it('retries stay within the budget while the number of entries doubles', () => {
  for (const seed of SEEDS) {
    const joining = { from: 7, at: 13_000 };
    expect(excessOf({ entries: 14, joining }, seed), `seed ${seed}`).toBeLessThanOrEqual(0);
  }
});

it.each([2000, 80])(
  'retries stay within the budget when those of two seconds arrive together, at %i requests a second',
  (requestsPerSecond) => {
    for (const seed of SEEDS) {
      for (const from of [12_000, 16_000, 22_000]) {
        const held = { from, to: from + 2000 };
        const excess = excessOf({ held, requestsPerSecond }, seed);
        expect(excess, `seed ${seed}, from ${from}`).toBeLessThanOrEqual(0);
      }
    }
  },
);

it('retries stay within the budget at drawn kills and cuts', () => {
  for (let seed = 100; seed < 130; seed += 1) {
    const random = createRandom(seed);
    const entries = 3 + Math.floor(random() * 10);
    const kills = Array.from({ length: Math.floor(random() * entries * 4) }, () => ({
      at: 12_000 + random() * 15_000,
      entry: Math.floor(random() * entries),
    }));
    const cuts = random() < 0.5 ? [] : [{ from: 11_000, to: 25_000, sides: 2 }];
    const traffic = Object.values(Traffic)[Math.floor(random() * 3)] ?? Traffic.Even;
    const requestsPerSecond = [2, 20, 80, 300][Math.floor(random() * 4)] ?? 80;
    const excess = excessOf({ entries, kills, cuts, traffic, requestsPerSecond }, seed);
    expect(excess, `seed ${seed}`).toBeLessThanOrEqual(0);
  }
});
