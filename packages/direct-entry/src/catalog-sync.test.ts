import { ReadingRole } from '@lapisbridge/fleet';
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';

import { simulateCatalogSync } from './catalog-sync-simulation.js';
import type { CatalogSyncSimulation } from './catalog-sync-simulation.js';

const BOUND_MILLISECONDS = 4000;
const SETTLE_MILLISECONDS = 5000;
/** Spread over the time for which the store holds a reader's call. */
const FAULT_OFFSETS_MILLISECONDS = [0, 500, 1000, 1500, 2000, 2500];

beforeEach(() => {
  vi.useFakeTimers();
});

afterEach(() => {
  vi.clearAllTimers();
  vi.useRealTimers();
});

async function startSettledSimulation(delayMilliseconds: number): Promise<CatalogSyncSimulation> {
  const simulation = simulateCatalogSync({
    seed: 3,
    zones: 5,
    entries: 50,
    delayMilliseconds,
    configurationBoundMilliseconds: BOUND_MILLISECONDS,
    drainingBoundMilliseconds: BOUND_MILLISECONDS,
  });
  await simulation.run(SETTLE_MILLISECONDS);
  return simulation;
}

/** Milliseconds until the last entry had a change in force, not counting the failed entries. */
async function longestPropagationDelay(
  simulation: CatalogSyncSimulation,
  failedEntries: ReadonlySet<string> = new Set(),
): Promise<number> {
  simulation.changeConfiguration();
  await simulation.run(BOUND_MILLISECONDS);
  const propagationDelays = [...simulation.propagationDelays()].filter(
    ([instanceId]) => !failedEntries.has(instanceId),
  );
  vi.clearAllTimers();
  return Math.max(...propagationDelays.map(([, milliseconds]) => milliseconds));
}

function readersOf(simulation: CatalogSyncSimulation): Set<string> {
  return new Set(simulation.entriesWithRole(ReadingRole.Reader).map(({ name }) => name.instanceId));
}

describe('an entry whose calls the store accepts', () => {
  // Guards against entries that confirm copies to each other although the store has a newer one.
  it.each([1, 20])(
    'has a change in force in time while the store refuses the readers, with a message delay of %i ms',
    async (delayMilliseconds) => {
      for (const faultOffset of FAULT_OFFSETS_MILLISECONDS) {
        const simulation = await startSettledSimulation(delayMilliseconds);
        const readers = readersOf(simulation);
        for (const reader of readers) simulation.refuseStoreCalls(reader);
        await simulation.run(faultOffset);
        const longest = await longestPropagationDelay(simulation, readers);
        expect(longest, `${faultOffset} ms after the fault`).toBeLessThanOrEqual(
          BOUND_MILLISECONDS,
        );
      }
    },
  );

  it.each([20])(
    'has a change in force in time when the readers stop, with a message delay of %i ms',
    async (delayMilliseconds) => {
      for (const faultOffset of FAULT_OFFSETS_MILLISECONDS) {
        const simulation = await startSettledSimulation(delayMilliseconds);
        await simulation.run(faultOffset);
        const readers = readersOf(simulation);
        for (const reader of readers) simulation.kill(reader);
        const longest = await longestPropagationDelay(simulation, readers);
        expect(longest, `fault after ${faultOffset} ms`).toBeLessThanOrEqual(BOUND_MILLISECONDS);
      }
    },
  );

  // Guards against entries of a zone that keep confirming an outdated copy to each other.
  it.each([1, 20, 100])(
    'has a change in force in time in a zone without readers that is cut off, with a message delay of %i ms',
    async (delayMilliseconds) => {
      for (const faultOffset of FAULT_OFFSETS_MILLISECONDS) {
        const simulation = await startSettledSimulation(delayMilliseconds);
        await simulation.run(faultOffset);
        const [primary] = simulation.entriesWithRole(ReadingRole.Primary);
        if (primary === undefined) throw new Error('every zone has a reader');
        simulation.cutZone(primary.name.availabilityZone);
        const longest = await longestPropagationDelay(simulation);
        expect(longest, `fault after ${faultOffset} ms`).toBeLessThanOrEqual(BOUND_MILLISECONDS);
      }
    },
  );
});
