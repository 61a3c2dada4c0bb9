/**
 * Repeats writes that the table did not take, until it does: results to store, claims to
 * give back. Bounded, because an outage can be long; what falls out leaves a claim that is
 * reported as unknown, never one that runs twice.
 */
import type { Random } from '@lapisbridge/kernel';

const FIRST_MILLISECONDS = 500;
const LONGEST_MILLISECONDS = 10_000;
const MAXIMUM_PENDING = 10_000;

export interface BackgroundRetry {
  readonly pending: number;
  /** Repeats the work, with growing jittered pauses, until it returns true. */
  add(work: () => Promise<boolean>): void;
  stop(): void;
  /** Tries everything once more and waits for it; used before exit. */
  flush(): Promise<void>;
}

export function createBackgroundRetry(random: Random): BackgroundRetry {
  const waiting = new Map<() => Promise<boolean>, NodeJS.Timeout>();

  async function attempt(work: () => Promise<boolean>, pause: number): Promise<void> {
    const done = await work().catch(() => false);
    if (done) waiting.delete(work);
    else if (waiting.has(work)) schedule(work, Math.min(pause * 2, LONGEST_MILLISECONDS));
  }

  function schedule(work: () => Promise<boolean>, pause: number): void {
    const jittered = pause * (0.5 + random());
    waiting.set(
      work,
      setTimeout(() => void attempt(work, pause), jittered),
    );
  }

  return {
    get pending() {
      return waiting.size;
    },
    add(work) {
      if (waiting.size < MAXIMUM_PENDING) schedule(work, FIRST_MILLISECONDS);
    },
    stop() {
      for (const timer of waiting.values()) clearTimeout(timer);
      waiting.clear();
    },
    async flush() {
      await Promise.all([...waiting.keys()].map((work) => work().catch(() => false)));
    },
  };
}
