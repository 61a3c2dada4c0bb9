/**
 * Waits for something to be seen. Verdicts of tests depend on what comes about, never on how
 * long it takes; the bound only keeps a broken run from hanging.
 */
import { setTimeout as sleep } from 'node:timers/promises';

const POLL_MILLISECONDS = 30;
const BOUND_MILLISECONDS = 20_000;

export async function awaitEvent<T>(
  what: string,
  look: () => Promise<T | undefined> | T | undefined,
): Promise<T> {
  const end = performance.now() + BOUND_MILLISECONDS;
  while (performance.now() < end) {
    const seen = await Promise.resolve()
      .then(look)
      .catch(() => undefined);
    if (seen !== undefined) return seen;
    await sleep(POLL_MILLISECONDS);
  }
  throw new Error(`not seen: ${what}`);
}
