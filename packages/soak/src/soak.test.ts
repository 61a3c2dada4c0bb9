import { describe, expect, it } from 'vitest';

import { KEPT_SEEDS } from './kept-seeds.js';
import { DrawScheme, FaultKind, planFaults } from './plan-faults.js';
import { runSoak } from './run-soak.js';

describe('drawn faults', () => {
  it('are the same for the same seed, of all kinds, and overlap', () => {
    const faults = planFaults(7, 600_000);
    expect(planFaults(7, 600_000)).toEqual(faults);
    expect(new Set(faults.map(({ kind }) => kind)).size).toBe(Object.keys(FaultKind).length);
    const overlapping = faults.filter(
      ({ at, lasts }, index) => (faults[index + 1]?.at ?? Infinity) < at + lasts,
    );
    expect(overlapping.length).toBeGreaterThan(faults.length / 2);
  });

  it('of every kind come in short runs', () => {
    // Guards against kinds that no run of CI ever plays.
    const runs = Array.from({ length: 54 }, (_, index) => planFaults(2000 + index, 9000));
    for (const kind of Object.values(FaultKind)) {
      const withKind = runs.filter((faults) => faults.some((fault) => fault.kind === kind));
      expect(withKind.length, kind).toBeGreaterThanOrEqual(10);
    }
  });

  it('of kept seeds stay as they were drawn', () => {
    const drawn = KEPT_SEEDS.map(({ seed, milliseconds, scheme }) => {
      const faults = planFaults(seed, milliseconds, scheme);
      return [seed, faults.length, faults.reduce((sum, { at }) => sum + at, 0)];
    });
    expect(drawn).toEqual([
      [218, 18, 107_833],
      [323, 20, 125_698],
    ]);
  });
});

describe('the real programs under drawn faults', () => {
  // Entries and sidecars are killed, paused and told to stop, the store fails in five ways, links
  // to backend servers are reset or silenced, ranks crash and orders are carried out late, all at
  // once. Whatever a caller is told has to be true, and a site without faults serves again.
  const seeds = [
    { seed: 1, milliseconds: 5000, scheme: DrawScheme.Current },
    { seed: 2, milliseconds: 9000, scheme: DrawScheme.Current },
    ...KEPT_SEEDS,
  ];
  for (const { seed, milliseconds, scheme } of seeds) {
    it(`keep every promise with seed ${seed}`, async () => {
      const result = await runSoak({ seed, milliseconds, scheme, network: 1 + (seed % 9) });
      expect(result.violations).toEqual([]);
      expect(result.served).toBeGreaterThan(0);
    });
  }
});

describe('a backend server that states a rate limit', () => {
  it.each([
    ['plain server', 4],
    ['rank of a group', 0],
  ])('as a %s gets no more requests from all entries together', async (_what, target) => {
    // Guards against entries that ignore the limit, or keep it each for itself.
    const faults = [{ kind: FaultKind.LimitRate, at: 1000, lasts: 9000, target }];
    const result = await runSoak({ seed: 1, milliseconds: 9000, faults, network: 10 });
    expect(result.violations).toEqual([]);
    expect(result.served).toBeGreaterThan(0);
  });
});

describe('a backend server that turns requests away and asks for a backoff', () => {
  it.each([
    ['plain server', 4],
    ['rank of a group', 0],
  ])('as a %s gets hardly any request until the backoff is over', async (_what, target) => {
    // Guards against entries that go on sending to a server that has asked for rest.
    const faults = [{ kind: FaultKind.ShedLoad, at: 1000, lasts: 7000, target }];
    const result = await runSoak({ seed: 1, milliseconds: 9000, faults, network: 12 });
    expect(result.violations).toEqual([]);
    expect(result.served).toBeGreaterThan(0);
  });
});

describe('a backend server that says in its answers that it leaves', () => {
  it.each([
    ['plain server', 4],
    ['rank of a group', 0],
  ])('as a %s gets no further request, and work again as a new process', async (_what, target) => {
    // Guards against entries that send to a leaving server that the store lists as ready.
    const faults = [{ kind: FaultKind.AnnounceLeaving, at: 1000, lasts: 6000, target }];
    const result = await runSoak({ seed: 1, milliseconds: 9000, faults, network: 13 });
    expect(result.violations).toEqual([]);
    expect(result.served).toBeGreaterThan(0);
  });
});

describe('a rank whose machine stands still', () => {
  it('gets few streams that run after their callers have left', async () => {
    // Guards against entries that take a silent server for one with room.
    const faults = [{ kind: FaultKind.StopMachine, at: 2500, lasts: 6000, target: 0 }];
    const result = await runSoak({
      seed: 1,
      milliseconds: 10_000,
      faults,
      callers: 90,
      passMilliseconds: 150,
      network: 11,
    });
    expect(result.violations).toEqual([]);
    expect(result.served).toBeGreaterThan(0);
  });
});
