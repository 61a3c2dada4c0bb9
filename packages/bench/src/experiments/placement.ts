/**
 * Step-time skew and the cost of rebalancing: the incremental planner against a static map
 * and a full re-plan in every window, under loads that drift, jump and alternate.
 */
import {
  countNewExperts,
  INITIAL_THRESHOLD_FACTOR,
  initialMap,
  planThresholdFactor,
  MapDecisionKind,
  planFullMap,
  planMap,
  predictRankTimes,
  skewOf,
  smoothTokens,
} from '@lapisbridge/placement';
import type { ExpertLoad, ExpertMap, MapPolicy } from '@lapisbridge/placement';
import type { Random } from '@lapisbridge/kernel';

import type { Cell, Experiment, Series } from '../report/experiment.js';
import { percentilesOf } from '../report/percentiles.js';

enum LoadShape {
  Drift = 'slow drift',
  Shift = 'sudden shift',
  Alternation = 'alternation',
}

enum Strategy {
  Static = 'static map',
  Full = 'full re-plan each window',
  Incremental = 'incremental',
}

const EXPERTS = 128;
const WINDOWS = 120;
const STEPS_PER_WINDOW = 100;
const SMOOTHING = 0.6;
const STRAGGLER_SPEED = 0.7;
/** Reports are one window old when a plan is made from them. */
const NOISE = 0.05;
const SPARE_SLOTS = 1;

function policyFor(ranks: number): MapPolicy {
  return {
    slotsPerRank: Math.ceil(EXPERTS / ranks) + SPARE_SLOTS,
    maximumMoves: Math.max(4, ranks / 4),
    horizonSteps: 2000,
    minimumGain: 0.01,
    moveCostSteps: 0.25,
  };
}

/** Tokens per expert in one window: a skewed popularity whose order changes over time. */
function tokensAt(shape: LoadShape, window: number, order: readonly number[]): number[] {
  const popularity = (place: number): number => 1000 / (place + 8);
  switch (shape) {
    case LoadShape.Drift: {
      const position = (window / WINDOWS) * EXPERTS * 0.25;
      return order.map((place) => {
        const moved = (place + position) % EXPERTS;
        const distance = Math.min(moved, EXPERTS - moved);
        return popularity(distance * 2);
      });
    }
    case LoadShape.Shift: {
      const offset = window < WINDOWS / 2 ? 0 : EXPERTS / 3;
      return order.map((place) => popularity((place + Math.floor(offset)) % EXPERTS));
    }
    case LoadShape.Alternation: {
      const offset = window % 2 === 0 ? 0 : EXPERTS / 2;
      return order.map((place) => popularity((place + offset) % EXPERTS));
    }
    default: {
      const unreachable: never = shape;
      throw new Error(String(unreachable));
    }
  }
}

function shuffle(count: number, random: Random): number[] {
  const order = Array.from({ length: count }, (_, index) => index);
  for (let index = count - 1; index > 0; index -= 1) {
    const other = Math.floor(random() * (index + 1));
    [order[index], order[other]] = [order[other], order[index]];
  }
  return order;
}

function withNoise(tokens: readonly number[], random: Random): number[] {
  return tokens.map((count) => count * (1 + NOISE * (random() * 2 - 1)));
}

interface RunResult {
  readonly skews: readonly number[];
  readonly moves: number;
  readonly changes: number;
  readonly planMilliseconds: readonly number[];
}

function nextMap(
  strategy: Strategy,
  map: ExpertMap,
  load: ExpertLoad,
  policy: MapPolicy,
  caution: number,
): ExpertMap {
  switch (strategy) {
    case Strategy.Static:
      return map;
    case Strategy.Full:
      return planFullMap(load, policy.slotsPerRank);
    case Strategy.Incremental: {
      const decision = planMap(map, load, policy, caution);
      return decision.kind === MapDecisionKind.Change ? decision.map : map;
    }
    default: {
      const unreachable: never = strategy;
      throw new Error(String(unreachable));
    }
  }
}

/** Windows in which a planner learns the load before it is judged. */
const LEARNING_WINDOWS = 20;

function runStrategy(
  strategy: Strategy,
  shape: LoadShape,
  ranks: number,
  order: readonly number[],
  random: Random,
): RunResult {
  const policy = policyFor(ranks);
  const speeds = Array.from({ length: ranks }, (_, rank) => (rank === 1 ? STRAGGLER_SPEED : 1));
  let map = initialMap(EXPERTS, ranks);
  let smoothed: number[] | undefined;
  let previous: ExpertMap | undefined;
  let caution = INITIAL_THRESHOLD_FACTOR;
  const skews: number[] = [];
  const planMilliseconds: number[] = [];
  let moves = 0;
  let changes = 0;
  for (let window = 0; window < WINDOWS; window += 1) {
    const truth = withNoise(tokensAt(shape, window, order), random);
    if (window >= LEARNING_WINDOWS)
      skews.push(skewOf(predictRankTimes(map, { tokens: truth, speeds })));
    // The full re-plan takes each window as it is, as a planner without memory would.
    smoothed = smoothTokens(smoothed, truth, strategy === Strategy.Full ? 1 : SMOOTHING);
    const startedAt = performance.now();
    caution = planThresholdFactor(caution, map, previous, { tokens: truth, speeds });
    const next = nextMap(strategy, map, { tokens: smoothed, speeds }, policy, caution);
    planMilliseconds.push(performance.now() - startedAt);
    const moved = countNewExperts(map, next);
    if (window >= LEARNING_WINDOWS) moves += moved;
    if (moved > 0) changes += 1;
    previous = moved > 0 ? map : undefined;
    map = next;
  }
  return { skews, moves, changes, planMilliseconds };
}

const LAYERS = 60;

/** Planning time of all layers of a large model, one layer at a time. */
function planningTimes(random: Random): Cell[] {
  const ranks = 128;
  const speeds = new Array<number>(ranks).fill(1);
  const policy = policyFor(ranks);
  const times: number[] = [];
  for (let layer = 0; layer < LAYERS; layer += 1) {
    const tokens = tokensAt(LoadShape.Shift, 0, shuffle(EXPERTS, random));
    const startedAt = performance.now();
    planMap(initialMap(EXPERTS, ranks), { tokens, speeds }, policy);
    times.push(performance.now() - startedAt);
  }
  const { p50, p99 } = percentilesOf(times);
  const total = times.reduce((sum, time) => sum + time, 0);
  return [ranks, EXPERTS, LAYERS, p50, p99, total];
}

export const placementExperiment: Experiment = {
  name: 'placement',
  description:
    'Step-time skew (slowest rank / mean) and experts moved, one straggler at 0.7 of full speed, ' +
    'plans made from the window before, 100 windows after 20 of learning.',
  async run({ random, progress }) {
    const rows: Cell[][] = [];
    const series: Series[] = [];
    for (const ranks of [8, 32, 128]) {
      for (const shape of Object.values(LoadShape)) {
        const order = shuffle(EXPERTS, random);
        progress(`${ranks} ranks, ${shape}`);
        for (const strategy of Object.values(Strategy)) {
          const { skews, moves, changes } = runStrategy(strategy, shape, ranks, order, random);
          const { p50, p95, p99 } = percentilesOf(skews);
          rows.push([ranks, shape, strategy, p50, p95, p99, moves, changes]);
          if (ranks === 32 && shape === LoadShape.Drift) {
            series.push({ name: strategy, points: skews.map((y, x) => ({ x, y })) });
          }
        }
      }
    }
    const columns = [
      'ranks',
      'load',
      'strategy',
      'skew p50',
      'p95',
      'p99',
      'experts moved',
      'changes',
    ];
    return {
      tables: [
        { title: 'Step-time skew and experts moved', columns, rows },
        {
          title: 'Planning time, ms, one layer at a time',
          columns: ['ranks', 'experts', 'layers', 'p50 a layer', 'p99 a layer', 'all layers'],
          rows: [planningTimes(random)],
        },
      ],
      plots: [
        {
          title: `Step-time skew, 32 ranks, slow drift (${STEPS_PER_WINDOW} steps a window)`,
          xLabel: 'window',
          yLabel: 'slowest rank / mean',
          series,
        },
      ],
      notes: [],
    };
  },
};
