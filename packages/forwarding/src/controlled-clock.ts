/**
 * A clock that tests advance, for the timers and times of this process. Sockets stay real: between
 * two steps the event loop turns until loopback connections of this process have nothing left to
 * deliver, so the outcome does not depend on how busy the machine is.
 */
import { vi } from 'vitest';

export interface ControlledClock {
  /** Advances the clock until the promise is settled, and returns its outcome. */
  runUntil<T>(promise: Promise<T>): Promise<T>;
  /** Advances the clock by so many milliseconds. */
  advance(milliseconds: number): Promise<void>;
  /** Returns to the real clock. */
  stop(): void;
}

const STEP_MILLISECONDS = 5;
/** Enough for a request and its response on new connections within this process. */
const TURNS_PER_STEP = 20;
const MAXIMUM_MILLISECONDS = 60_000;

async function turnEventLoop(): Promise<void> {
  for (let turn = 0; turn < TURNS_PER_STEP; turn += 1) {
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
  }
}

/** Replaces timers and `performance.now` until `stop`. */
export function startControlledClock(): ControlledClock {
  vi.useFakeTimers({
    toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'performance', 'Date'],
  });

  async function step(): Promise<void> {
    await turnEventLoop();
    await vi.advanceTimersByTimeAsync(STEP_MILLISECONDS);
    await turnEventLoop();
  }

  return {
    async runUntil(promise) {
      let isSettled = false;
      const settle = (): void => {
        isSettled = true;
      };
      promise.then(settle, settle);
      await turnEventLoop();
      for (let elapsed = 0; !isSettled; elapsed += STEP_MILLISECONDS) {
        if (elapsed > MAXIMUM_MILLISECONDS) throw new Error('the promise is still pending');
        await step();
      }
      return promise;
    },
    async advance(milliseconds) {
      for (let elapsed = 0; elapsed < milliseconds; elapsed += STEP_MILLISECONDS) await step();
    },
    stop: () => void vi.useRealTimers(),
  };
}
