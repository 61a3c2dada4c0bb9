/**
 * Planning of expert maps.
 */
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';

import {
  countNewExperts,
  countReplicas,
  INITIAL_THRESHOLD_FACTOR,
  initialMap,
  MapDecisionKind,
  planThresholdFactor,
  planFullMap,
  planMap,
  predictRankTimes,
  skewOf,
  smoothTokens,
} from './index.js';
import type { ExpertLoad, ExpertMap, MapPolicy } from './index.js';

const POLICY: MapPolicy = {
  slotsPerRank: 5,
  maximumMoves: 4,
  horizonSteps: 2000,
  minimumGain: 0.03,
  moveCostSteps: 4,
};

const loads = fc.record<ExpertLoad>({
  tokens: fc.array(fc.integer({ min: 0, max: 1000 }), { minLength: 32, maxLength: 32 }),
  speeds: fc.array(fc.constantFrom(1, 1, 1, 0.5), { minLength: 8, maxLength: 8 }),
});

describe('a planned map', () => {
  it('holds every expert, within the slots, in few moves, and is never slower', () => {
    // The tokens of an expert that no rank holds could not be processed in any step.
    fc.assert(
      fc.property(fc.array(loads, { minLength: 1, maxLength: 6 }), (windows) => {
        let map = initialMap(32, 8);
        for (const load of windows) {
          const decision = planMap(map, load, POLICY);
          const moves = countNewExperts(map, decision.map);
          expect(moves).toBeLessThanOrEqual(POLICY.maximumMoves);
          expect(Math.min(...countReplicas(decision.map, 32))).toBeGreaterThanOrEqual(1);
          for (const held of decision.map.experts) {
            expect(held.length).toBeLessThanOrEqual(POLICY.slotsPerRank);
          }
          const before = Math.max(...predictRankTimes(map, load));
          expect(Math.max(...predictRankTimes(decision.map, load))).toBeLessThanOrEqual(
            before + 1e-6,
          );
          map = decision.map;
        }
      }),
    );
  });

  it('relieves a straggler rank and a hot expert', () => {
    const tokens = Array.from({ length: 32 }, (_, expert) => (expert === 0 ? 2000 : 100));
    const speeds = [1, 1, 1, 0.4, 1, 1, 1, 1];
    let map = initialMap(32, 8);
    const before = skewOf(predictRankTimes(map, { tokens, speeds }));
    for (let window = 0; window < 6; window += 1)
      map = planMap(map, { tokens, speeds }, POLICY).map;
    expect(skewOf(predictRankTimes(map, { tokens, speeds }))).toBeLessThan(before / 2);
  });

  it('stays in force while the load alternates', () => {
    // The load swings back and forth in each window. A planner that followed it would keep moving
    // experts, and the group would stall for gains that are lost in the next window.
    const even = Array.from({ length: 32 }, (_, expert) => (expert % 2 === 0 ? 130 : 100));
    const odd = Array.from({ length: 32 }, (_, expert) => (expert % 2 === 0 ? 100 : 130));
    const speeds = new Array<number>(8).fill(1);
    let tokens: number[] | undefined;
    let map = initialMap(32, 8);
    let previous: ExpertMap | undefined;
    let thresholdFactor = INITIAL_THRESHOLD_FACTOR;
    let changes = 0;
    for (let window = 0; window < 60; window += 1) {
      const seen = window % 2 === 0 ? even : odd;
      tokens = smoothTokens(tokens, seen, 0.6);
      thresholdFactor = planThresholdFactor(thresholdFactor, map, previous, {
        tokens: seen,
        speeds,
      });
      const decision = planMap(map, { tokens, speeds }, POLICY, thresholdFactor);
      const changed = decision.kind === MapDecisionKind.Change;
      previous = changed ? map : undefined;
      if (changed && window >= 30) changes += 1;
      map = decision.map;
    }
    expect(changes).toBeLessThanOrEqual(2);
  });
});

describe('a full plan', () => {
  it('holds every expert within the slots', () => {
    fc.assert(
      fc.property(loads, (load) => {
        const map = planFullMap(load, 5);
        expect(Math.min(...countReplicas(map, 32))).toBeGreaterThanOrEqual(1);
        for (const held of map.experts) expect(held.length).toBeLessThanOrEqual(5);
      }),
    );
  });
});
