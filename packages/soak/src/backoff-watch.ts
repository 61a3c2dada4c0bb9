/**
 * Counts the requests that backend servers get from an entry while it was asked to back off.
 */
import { EventKind } from '@lapisbridge/history';
import type { History } from '@lapisbridge/history';

export interface BackoffWatch {
  /** A server answers an entry, and asks for so long without its requests. */
  onAsked(server: string, entry: string, milliseconds: number): void;
  onArrival(server: string, entry: string): void;
  /** An entry was killed, stopped or paused, and may not know what it was told. */
  excuse(entry: string): void;
  /** Answers of the server may not arrive until its link is mended. */
  cut(server: string): void;
  mend(server: string): void;
}

interface AskedBackoff {
  readonly server: string;
  readonly entry: string;
  /** Requests that are on their way when the server asks arrive before this. */
  readonly from: number;
  readonly until: number;
  requests: number;
}

const REACTION_MILLISECONDS = 500;

export function createBackoffWatch(history: History, now: () => number): BackoffWatch {
  let asked: AskedBackoff[] = [];
  const cutOff = new Set<string>();

  return {
    onAsked(server, entry, milliseconds) {
      if (cutOff.has(server)) return;
      const from = now() + REACTION_MILLISECONDS;
      const until = now() + milliseconds;
      if (until > from) asked.push({ server, entry, from, until, requests: 0 });
    },
    onArrival(server, entry) {
      asked = asked.filter(({ until }) => until > now());
      for (const backoff of asked) {
        if (backoff.server !== server || backoff.entry !== entry || backoff.from > now()) continue;
        backoff.requests += 1;
        const { requests } = backoff;
        history.record({ kind: EventKind.BackoffLoad, instanceId: server, entry, requests });
      }
    },
    excuse(entry) {
      asked = asked.filter((backoff) => backoff.entry !== entry);
    },
    cut(server) {
      cutOff.add(server);
      asked = asked.filter((backoff) => backoff.server !== server);
    },
    mend: (server) => void cutOff.delete(server),
  };
}
