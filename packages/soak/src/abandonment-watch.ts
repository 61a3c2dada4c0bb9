/**
 * Notes requests that reach a backend server long after their callers have left.
 */
import { EventKind } from '@lapisbridge/history';
import type { History } from '@lapisbridge/history';

export interface AbandonmentWatch {
  /** A caller left its request unfinished. */
  onLeft(requestId: string): void;
  onArrival(server: string, entry: string, requestId: string): void;
  /** An entry was killed, stopped or paused, and may learn late who has left. */
  excuse(entry: string): void;
}

const CONTACT_MILLISECONDS = 3000;
const REACTION_MILLISECONDS = 500;

export function createAbandonmentWatch(history: History, now: () => number): AbandonmentWatch {
  const leftAt = new Map<string, number>();
  const excusedAt = new Map<string, number>();

  return {
    onLeft: (requestId) => void leftAt.set(requestId, now()),
    onArrival(server, entry, requestId) {
      const left = leftAt.get(requestId);
      if (left === undefined || now() - left <= REACTION_MILLISECONDS) return;
      if (left - (excusedAt.get(entry) ?? -Infinity) < CONTACT_MILLISECONDS) return;
      history.record({ kind: EventKind.AbandonedArrival, instanceId: server, request: requestId });
    },
    excuse: (entry) => void excusedAt.set(entry, now()),
  };
}
