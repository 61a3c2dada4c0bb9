import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';

import { simulateCatalogSync } from './catalog-sync-simulation.js';

const CONFIGURATION_BOUND_MILLISECONDS = 2000;
/** Time after the end of a fault from which that bound holds again. */
const CONTACT_MILLISECONDS = 3000;
const SETTLE_MILLISECONDS = 4000;
/** Spread over the time for which the store holds a call. */
const CUT_OFFSETS_MILLISECONDS = [0, 600, 1200, 1800, 2400];
/** The change is made so long after the start of the cut. */
const CHANGE_MILLISECONDS = 10;
const CUT_DURATIONS_MILLISECONDS = [
  400, 800, 1600, 2400, 3200, 3600, 4000, 4400, 4800, 5200, 5600, 6000, 8000,
];

beforeEach(() => {
  vi.useFakeTimers();
});

afterEach(() => {
  vi.clearAllTimers();
  vi.useRealTimers();
});

interface Cut {
  readonly offsetMilliseconds: number;
  readonly durationMilliseconds: number;
}

/** Milliseconds from the end of the cut until a change made within it was in force. */
async function propagationAfterCut({
  offsetMilliseconds,
  durationMilliseconds,
}: Cut): Promise<number> {
  vi.clearAllTimers();
  const simulation = simulateCatalogSync({
    seed: 3,
    zones: 1,
    entries: 1,
    delayMilliseconds: 1,
    configurationBoundMilliseconds: CONFIGURATION_BOUND_MILLISECONDS,
    drainingBoundMilliseconds: CONFIGURATION_BOUND_MILLISECONDS,
  });
  const [entry = ''] = simulation.fleet.entries.map(({ name }) => name.instanceId);
  await simulation.run(SETTLE_MILLISECONDS + offsetMilliseconds);
  simulation.store.cutOff(entry);
  await simulation.run(CHANGE_MILLISECONDS);
  simulation.changeConfiguration();
  await simulation.run(durationMilliseconds - CHANGE_MILLISECONDS);
  simulation.store.reconnect(entry);
  await simulation.run(CONTACT_MILLISECONDS);
  const delay = simulation.propagationDelays().get(entry) ?? Infinity;
  return delay - durationMilliseconds + CHANGE_MILLISECONDS;
}

describe('a change of the configuration while the only entry gets no response of the store', () => {
  // Guards against using a removed API key because a call made during the fault is waited for.
  it('is in force once the entry is in touch again, whenever the fault ends', async () => {
    for (const durationMilliseconds of CUT_DURATIONS_MILLISECONDS) {
      for (const offsetMilliseconds of CUT_OFFSETS_MILLISECONDS) {
        const cut = { offsetMilliseconds, durationMilliseconds };
        expect(await propagationAfterCut(cut), JSON.stringify(cut)).toBeLessThan(
          CONTACT_MILLISECONDS,
        );
      }
    }
  });

  // Guards against a call that begins within a short fault and that the store may hold for long.
  it('is in force in time after a fault that loses a single call', async () => {
    for (let offsetMilliseconds = 0; offsetMilliseconds < 2600; offsetMilliseconds += 20) {
      const cut = { offsetMilliseconds, durationMilliseconds: 20 };
      expect(await propagationAfterCut(cut), JSON.stringify(cut)).toBeLessThan(
        CONTACT_MILLISECONDS,
      );
    }
  });
});
