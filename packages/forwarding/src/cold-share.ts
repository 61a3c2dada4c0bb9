/**
 * This entry's share of what a cold backend server bears. A server may turn cold at any moment
 * and says so late, and far above its cold rate it crashes. So every server of a service with
 * a cold phase is treated as cold: its rate in any second, divided among the entries, is more
 * than even loads need, and no late message can break it.
 */
export interface ColdShare {
  /** Whether one more request may be sent now. */
  maySend(instanceId: string, coldRequestsPerSecond: number): boolean;
  noteSent(instanceId: string): void;
  forget(instanceId: string): void;
}

const WINDOW_MILLISECONDS = 1000;

export function createColdShare(entries: () => number, now: () => number): ColdShare {
  const sent = new Map<string, number[]>();

  function recent(instanceId: string): number[] {
    const times = sent.get(instanceId) ?? [];
    const from = now() - WINDOW_MILLISECONDS;
    while ((times[0] ?? Infinity) < from) times.shift();
    return times;
  }

  return {
    maySend(instanceId, coldRequestsPerSecond) {
      if (coldRequestsPerSecond <= 0) return true;
      // One request a second at least: below that an entry could never use the server at all.
      const share = Math.max(1, Math.floor(coldRequestsPerSecond / Math.max(1, entries())));
      return recent(instanceId).length < share;
    },
    noteSent(instanceId) {
      const times = recent(instanceId);
      times.push(now());
      sent.set(instanceId, times);
    },
    forget(instanceId) {
      sent.delete(instanceId);
    },
  };
}
