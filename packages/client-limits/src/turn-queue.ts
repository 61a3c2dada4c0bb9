/**
 * Runs queued callbacks one for each turn of the event loop, so that clients whose data is costly to
 * read do not delay all others.
 */
export interface TurnQueue {
  add(run: () => void): void;
}

export function createTurnQueue(): TurnQueue {
  const queue: (() => void)[] = [];
  let isScheduled = false;

  function runNext(): void {
    queue.shift()?.();
    isScheduled = queue.length > 0;
    if (isScheduled) setImmediate(runNext);
  }

  return {
    add(run) {
      queue.push(run);
      if (isScheduled) return;
      isScheduled = true;
      setImmediate(runNext);
    },
  };
}
