/**
 * Notes requests that an entry sends to a backend server long after this told it that it leaves.
 */
import { EventKind } from '@lapisbridge/history';
import type { History } from '@lapisbridge/history';

export interface DepartureWatch {
  /** A server that leaves answers an entry. */
  onStated(server: string, entry: string): void;
  /** A request arrives that its caller sent at the given time. */
  onArrival(server: string, entry: string, sentAt: number): void;
  /** The process that left has ended, and another one takes its place. */
  onReplaced(server: string): void;
  /** An entry was killed, stopped or paused, and may not know what it was told. */
  excuse(entry: string): void;
  /** Answers of the server may not arrive until its link is mended. */
  cut(server: string): void;
  mend(server: string): void;
}

const DRAINING_MILLISECONDS = 2000;

export function createDepartureWatch(history: History, now: () => number): DepartureWatch {
  /** By server and entry. */
  const statedAt = new Map<string, Map<string, number>>();
  const cutOff = new Set<string>();

  return {
    onStated(server, entry) {
      if (cutOff.has(server)) return;
      const told = statedAt.get(server) ?? new Map<string, number>();
      statedAt.set(server, told);
      if (!told.has(entry)) told.set(entry, now());
    },
    onArrival(server, entry, sentAt) {
      const at = statedAt.get(server)?.get(entry) ?? Infinity;
      if (sentAt <= at + DRAINING_MILLISECONDS) return;
      history.record({ kind: EventKind.SentToLeaving, instanceId: server, entry });
    },
    onReplaced: (server) => void statedAt.delete(server),
    excuse(entry) {
      for (const told of statedAt.values()) told.delete(entry);
    },
    cut: (server) => void cutOff.add(server),
    mend: (server) => void cutOff.delete(server),
  };
}
