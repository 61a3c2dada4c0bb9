import { ReadingRole } from '@lapisbridge/fleet';
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';

import { playKnowledge } from './played-knowledge.js';
import type { PlayedKnowledge } from './played-knowledge.js';

const BOUND_MILLISECONDS = 4000;
const SETTLED_MILLISECONDS = 5000;
/** Spread over the time that a call of a reader waits at the store. */
const MOMENTS = [0, 500, 1000, 1500, 2000, 2500];

beforeEach(() => {
  vi.useFakeTimers();
});

afterEach(() => {
  vi.clearAllTimers();
  vi.useRealTimers();
});

async function playSettled(delayMilliseconds: number): Promise<PlayedKnowledge> {
  const played = playKnowledge({
    seed: 3,
    zones: 5,
    entries: 50,
    delayMilliseconds,
    configurationBoundMilliseconds: BOUND_MILLISECONDS,
    drainingBoundMilliseconds: BOUND_MILLISECONDS,
  });
  await played.run(SETTLED_MILLISECONDS);
  return played;
}

/** Milliseconds until the last entry had the change, those left out that a fault has struck. */
async function longestDelay(
  played: PlayedKnowledge,
  struck: ReadonlySet<string> = new Set(),
): Promise<number> {
  played.changeConfiguration();
  await played.run(BOUND_MILLISECONDS);
  const delays = [...played.delays()].filter(([instanceId]) => !struck.has(instanceId));
  vi.clearAllTimers();
  return Math.max(...delays.map(([, milliseconds]) => milliseconds));
}

function readersOf(played: PlayedKnowledge): Set<string> {
  return new Set(played.entriesAs(ReadingRole.Reader).map(({ name }) => name.instanceId));
}

describe('an entry that the store answers', () => {
  // Guards against copies that entries confirm to each other although the store has a newer one.
  it.each([1, 20])(
    'has a change in force in time while the store turns the readers away, with messages of %i ms',
    async (delayMilliseconds) => {
      for (const moment of MOMENTS) {
        const played = await playSettled(delayMilliseconds);
        const readers = readersOf(played);
        for (const reader of readers) played.turnAway(reader);
        await played.run(moment);
        const longest = await longestDelay(played, readers);
        expect(longest, `${moment} ms after the fault`).toBeLessThanOrEqual(BOUND_MILLISECONDS);
      }
    },
  );

  it.each([20])(
    'has a change in force in time when the readers stop, with messages of %i ms',
    async (delayMilliseconds) => {
      for (const moment of MOMENTS) {
        const played = await playSettled(delayMilliseconds);
        await played.run(moment);
        const readers = readersOf(played);
        for (const reader of readers) played.kill(reader);
        const longest = await longestDelay(played, readers);
        expect(longest, `fault after ${moment} ms`).toBeLessThanOrEqual(BOUND_MILLISECONDS);
      }
    },
  );

  // Guards against a zone that goes on confirming its copy to itself.
  it.each([1, 20, 100])(
    'has a change in force in time in a zone without readers that is cut off, with messages of %i ms',
    async (delayMilliseconds) => {
      for (const moment of MOMENTS) {
        const played = await playSettled(delayMilliseconds);
        await played.run(moment);
        const [primary] = played.entriesAs(ReadingRole.Primary);
        if (primary === undefined) throw new Error('every zone has a reader');
        played.cutZone(primary.name.availabilityZone);
        const longest = await longestDelay(played);
        expect(longest, `fault after ${moment} ms`).toBeLessThanOrEqual(BOUND_MILLISECONDS);
      }
    },
  );
});
