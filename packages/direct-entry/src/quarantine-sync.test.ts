import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';

import { simulateQuarantine } from './quarantine-simulation.js';
import type { QuarantineSimulation } from './quarantine-simulation.js';

const SMALL = { entries: 6, zones: 3 };
const LARGE = { entries: 39, zones: 3 };
const SETTLE_MILLISECONDS = 4000;
/** Time within which a part that crashes servers has to be known everywhere. */
const CONTACT_MILLISECONDS = 3000;

beforeEach(() => {
  vi.useFakeTimers();
});

afterEach(() => {
  vi.clearAllTimers();
  vi.useRealTimers();
});

/** Number of entries that refuse requests with the part. */
function countAware(simulation: QuarantineSimulation, part = 'bad'): number {
  let aware = 0;
  for (const index of simulation.fleet.entries.keys()) {
    if (simulation.ledgerOf(index).findQuarantined([part]) !== undefined) aware += 1;
  }
  return aware;
}

/** Crashes seen by entries of two zones, a few seconds apart. */
async function crashTwice(simulation: QuarantineSimulation): Promise<void> {
  simulation.crash(0, 'server-1', ['bad']);
  await simulation.run(4000);
  simulation.crash(1, 'server-2', ['bad']);
}

describe('a part that crashes servers', () => {
  it.each([
    ['a small fleet', SMALL],
    ['a large fleet', LARGE],
  ])('is known to every entry in time: %s', async (_what, options) => {
    const simulation = simulateQuarantine(options);
    await simulation.run(SETTLE_MILLISECONDS);
    await crashTwice(simulation);
    await simulation.run(CONTACT_MILLISECONDS);
    expect(countAware(simulation)).toBe(options.entries);
  });

  it.each([
    ['a small fleet', SMALL],
    ['a large fleet', LARGE],
  ])('is known in zones that cannot reach each other: %s', async (_what, options) => {
    // Guards against evidence that is split among zones and enough in none of them.
    const simulation = simulateQuarantine(options);
    await simulation.run(SETTLE_MILLISECONDS);
    simulation.cutZones(true);
    await simulation.run(2000);
    await crashTwice(simulation);
    await simulation.run(CONTACT_MILLISECONDS);
    expect(countAware(simulation)).toBe(options.entries);
  });

  it('is known by digests alone while the store is down, and stored after its return', async () => {
    const simulation = simulateQuarantine(SMALL);
    await simulation.run(SETTLE_MILLISECONDS);
    simulation.refuseStoreCalls(true);
    await crashTwice(simulation);
    await simulation.run(CONTACT_MILLISECONDS);
    expect(countAware(simulation)).toBe(SMALL.entries);
    simulation.refuseStoreCalls(false);
    await simulation.run(SETTLE_MILLISECONDS);
    expect([...simulation.rows.keys()]).toContain('quarantined/bad');
  });

  it('is known after a restart of every entry at once', async () => {
    // Guards against learning the same part from new crashes after a power failure.
    const simulation = simulateQuarantine(SMALL);
    await simulation.run(SETTLE_MILLISECONDS);
    await crashTwice(simulation);
    await simulation.run(SETTLE_MILLISECONDS);
    simulation.restartAll();
    await simulation.run(500);
    expect(countAware(simulation)).toBe(SMALL.entries);
  });

  it('is counted with its crashes from before a restart', async () => {
    const simulation = simulateQuarantine(SMALL);
    await simulation.run(SETTLE_MILLISECONDS);
    simulation.crash(0, 'server-1', ['bad']);
    await simulation.run(SETTLE_MILLISECONDS);
    simulation.restartAll();
    await simulation.run(SETTLE_MILLISECONDS);
    simulation.crash(3, 'server-2', ['bad']);
    await simulation.run(CONTACT_MILLISECONDS);
    expect(countAware(simulation)).toBe(SMALL.entries);
  });

  it('is released everywhere when an operator removes its row', async () => {
    const simulation = simulateQuarantine(SMALL);
    await simulation.run(SETTLE_MILLISECONDS);
    await crashTwice(simulation);
    await simulation.run(SETTLE_MILLISECONDS);
    simulation.removeRow('quarantined/bad');
    await simulation.run(SETTLE_MILLISECONDS);
    expect(countAware(simulation)).toBe(0);
    expect([...simulation.rows.keys()]).not.toContain('quarantined/bad');
  });

  it('is released everywhere, and in the store, when a request with it is answered', async () => {
    const simulation = simulateQuarantine(SMALL);
    await simulation.run(SETTLE_MILLISECONDS);
    await crashTwice(simulation);
    await simulation.run(SETTLE_MILLISECONDS);
    simulation.ledgerOf(4).recordAnswered(['bad']);
    await simulation.run(SETTLE_MILLISECONDS);
    expect(countAware(simulation)).toBe(0);
    expect([...simulation.rows.keys()]).not.toContain('quarantined/bad');
  });
});

const REQUEST = `r${'a'.repeat(12)}${'b'.repeat(16)}`;

/** Number of entries that refuse the request. */
function countRefusing(simulation: QuarantineSimulation): number {
  let refusing = 0;
  for (const index of simulation.fleet.entries.keys()) {
    if (simulation.ledgerOf(index).quarantinedRequests().includes(REQUEST)) refusing += 1;
  }
  return refusing;
}

/** Attempts at two entries are lost one after the other. */
async function loseTwice(simulation: QuarantineSimulation): Promise<void> {
  simulation.loseRequest(0, 'server-1', REQUEST);
  await simulation.run(10);
  simulation.loseRequest(1, 'server-2', REQUEST);
  await simulation.run(CONTACT_MILLISECONDS);
}

describe('a request that ends servers', () => {
  it.each([
    ['a small fleet', SMALL],
    ['a large fleet', LARGE],
  ])('is refused by every entry within milliseconds: %s', async (_what, options) => {
    // Guards against a caller who asks another entry at once.
    const simulation = simulateQuarantine(options);
    await simulation.run(SETTLE_MILLISECONDS);
    simulation.loseRequest(0, 'server-1', REQUEST);
    await simulation.run(10);
    simulation.loseRequest(options.entries - 1, 'server-2', REQUEST);
    await simulation.run(10);
    expect(countRefusing(simulation)).toBe(options.entries);
  });

  it('is refused after all entries have started anew', async () => {
    const simulation = simulateQuarantine(SMALL);
    await simulation.run(SETTLE_MILLISECONDS);
    await loseTwice(simulation);
    simulation.restartAll();
    await simulation.run(SETTLE_MILLISECONDS);
    expect(countRefusing(simulation)).toBe(SMALL.entries);
  });

  it('ends at most two servers on each side of a cut that the store spans', async () => {
    const simulation = simulateQuarantine(SMALL);
    await simulation.run(SETTLE_MILLISECONDS);
    simulation.cutZones(true);
    for (const entry of [0, 1]) {
      for (const attempt of [1, 2]) {
        simulation.loseRequest(entry, `server-${entry}-${attempt}`, REQUEST);
        await simulation.run(10);
      }
      expect(simulation.ledgerOf(entry).quarantinedRequests()).toEqual([REQUEST]);
    }
    await simulation.run(CONTACT_MILLISECONDS);
    expect(countRefusing(simulation)).toBe(SMALL.entries);
  });

  it('is served again where its row is removed', async () => {
    const simulation = simulateQuarantine(SMALL);
    await simulation.run(SETTLE_MILLISECONDS);
    await loseTwice(simulation);
    simulation.removeRow(`quarantined/${REQUEST}`);
    await simulation.run(CONTACT_MILLISECONDS);
    expect(countRefusing(simulation)).toBe(0);
  });

  it('costs the store nothing while it was lost once', async () => {
    const simulation = simulateQuarantine(SMALL);
    await simulation.run(SETTLE_MILLISECONDS);
    const before = simulation.calls().writes;
    simulation.loseRequest(0, 'server-1', REQUEST);
    await simulation.run(CONTACT_MILLISECONDS);
    expect(simulation.calls().writes).toBe(before);
  });
});

describe('a sound part', () => {
  it('is cleared by an answer in a zone that cannot be reached', async () => {
    // Guards against blaming what most requests share while zones are apart.
    const simulation = simulateQuarantine(SMALL);
    await simulation.run(SETTLE_MILLISECONDS);
    simulation.cutZones(true);
    await simulation.run(2000);
    simulation.ledgerOf(2).recordAnswered(['aa']);
    simulation.crash(0, 'server-1', ['aa', 'bad']);
    await simulation.run(4000);
    simulation.crash(1, 'server-2', ['aa', 'bad']);
    await simulation.run(CONTACT_MILLISECONDS);
    expect(countAware(simulation, 'aa')).toBe(0);
    expect(countAware(simulation)).toBe(SMALL.entries);
  });
});

describe('calls to the store', () => {
  it('are few while nothing happens, and a handful for each crash', async () => {
    const simulation = simulateQuarantine(SMALL);
    await simulation.run(60_000);
    const idle = simulation.calls();
    expect(idle.writes).toBe(0);
    expect(idle.reads).toBeLessThanOrEqual(SMALL.entries * 4);
    await crashTwice(simulation);
    await simulation.run(SETTLE_MILLISECONDS);
    const busy = simulation.calls();
    expect(busy.writes).toBeLessThanOrEqual(2 * SMALL.entries);
    expect(busy.reads - idle.reads).toBeLessThanOrEqual(6 * SMALL.entries);
  });
});
