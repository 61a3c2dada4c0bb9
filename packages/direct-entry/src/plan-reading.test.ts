import { ReadingRole } from '@lapisbridge/fleet';
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';

import { planStoreReads, SERVERS_LONG_POLL_MILLISECONDS } from './plan-reading.js';

const BOUND = fc.integer({ min: 2000, max: 10_000 });

describe('reading the store directly in a large fleet', () => {
  it('starts on every entry before the bound of a change has passed', () => {
    // Guards against using a revoked key or a server that has left after all readers stop at once.
    fc.assert(
      fc.property(BOUND, BOUND, (configuration, draining) => {
        const bounds = { configuration, draining };
        for (const role of Object.values(ReadingRole)) {
          const plan = planStoreReads({ bounds, isDelegating: true, role });
          expect(plan.operatorsDirectReadAgeMilliseconds).toBeLessThan(configuration - 250);
          expect(plan.serversDirectReadAgeMilliseconds).toBeLessThan(draining - 150);
        }
      }),
      { seed: 4, numRuns: 200 },
    );
  });

  it('starts early enough for a call that times out and one more call', () => {
    // Guards against a change that is in force too late because an entry's first call is lost.
    const STORE_TIMEOUT_MILLISECONDS = 700;
    const PAUSE_AND_CALL_MILLISECONDS = 200;
    const needed = STORE_TIMEOUT_MILLISECONDS + PAUSE_AND_CALL_MILLISECONDS;
    for (const bound of [4000, 6000, 10_000]) {
      const bounds = { configuration: bound, draining: bound };
      for (const role of [ReadingRole.Primary, ReadingRole.Standby, ReadingRole.Follower]) {
        const plan = planStoreReads({ bounds, isDelegating: true, role });
        expect(bound - plan.operatorsDirectReadAgeMilliseconds).toBeGreaterThanOrEqual(needed);
        expect(bound - plan.serversDirectReadAgeMilliseconds).toBeGreaterThanOrEqual(needed);
        // A call that the store holds would confirm nothing in that time.
        expect(plan.operatorsLongPollMilliseconds).toBe(0);
        expect(plan.serversLongPollMilliseconds).toBe(0);
        // Guards against endless calls if responses do not make a copy fresh.
        expect(plan.operatorsPauseMilliseconds).toBeGreaterThan(100);
      }
    }
  });

  it('is left to the readers while their reports arrive in time', () => {
    // Guards against calls of all entries for every change although two entries read for them.
    fc.assert(
      fc.property(BOUND, BOUND, (configuration, draining) => {
        const bounds = { configuration, draining };
        const reader = planStoreReads({ bounds, isDelegating: true, role: ReadingRole.Reader });
        const plan = planStoreReads({ bounds, isDelegating: true, role: ReadingRole.Primary });
        expect(reader.operatorsLongPollMilliseconds + 500).toBeLessThan(
          plan.operatorsDirectReadAgeMilliseconds,
        );
        const expectedAge = plan.serversPauseMilliseconds + SERVERS_LONG_POLL_MILLISECONDS;
        expect(expectedAge + 500).toBeLessThan(plan.serversDirectReadAgeMilliseconds);
      }),
      { seed: 4, numRuns: 200 },
    );
  });

  it('starts on a zone’s primary first, unless a short bound leaves no time', () => {
    const bounds = { configuration: 4000, draining: 4000 };
    const directReadAge = (role: ReadingRole): number =>
      planStoreReads({ bounds, isDelegating: true, role }).serversDirectReadAgeMilliseconds;
    expect(directReadAge(ReadingRole.Primary)).toBeLessThan(directReadAge(ReadingRole.Standby));
    expect(directReadAge(ReadingRole.Standby)).toBeLessThan(directReadAge(ReadingRole.Follower));
  });
});
