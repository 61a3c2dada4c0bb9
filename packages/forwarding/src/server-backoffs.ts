/**
 * Backoffs that backend servers ask for: with a 503, a server may say for how long it wants no
 * further request from this entry. A backoff concerns the entry that was told, and no other.
 */
import type { Logger } from '@lapisbridge/logger';

import { RetryAfterKind } from './caller-protocol.js';
import type { ResponseHead } from './caller-protocol.js';
import type { StandingStatement } from './standing-statement.js';

export interface ServerBackoffs {
  /** Takes what a server's answer states; the answer has to be the server's own. */
  onAnswer(instanceId: string, head: ResponseHead): void;
  /** Milliseconds until the server may be sent to again; 0 for now. */
  remainingMilliseconds(instanceId: string): number;
  noteSent(instanceId: string): void;
  /** Servers that back off now. */
  list(): StandingStatement[];
  /** Requests sent to servers while they backed off, since the start. */
  requestsSent(): number;
  /** Forgets backoffs that are over, also those of servers that are not asked about any more. */
  forgetOver(): void;
}

interface Backoff {
  readonly since: number;
  until: number;
}

const SERVICE_UNAVAILABLE = 503;

export function createServerBackoffs(now: () => number, logger: Logger): ServerBackoffs {
  const backoffs = new Map<string, Backoff>();
  let requestsSent = 0;

  function current(instanceId: string): Backoff | undefined {
    const backoff = backoffs.get(instanceId);
    if (backoff === undefined || backoff.until > now()) return backoff;
    backoffs.delete(instanceId);
    return undefined;
  }

  return {
    onAnswer(instanceId, { status, retryAfter }) {
      if (status !== SERVICE_UNAVAILABLE) return;
      switch (retryAfter.kind) {
        case RetryAfterKind.None:
          return;
        case RetryAfterKind.Malformed:
          logger.warn('server backoff unreadable', { server: instanceId });
          return;
        case RetryAfterKind.Stated:
          break;
        default: {
          const unreachable: never = retryAfter;
          throw new Error(String(unreachable));
        }
      }
      const { milliseconds } = retryAfter;
      if (milliseconds === 0) return;
      const until = now() + milliseconds;
      const before = current(instanceId);
      if (before !== undefined) {
        before.until = Math.max(before.until, until);
        return;
      }
      backoffs.set(instanceId, { since: now(), until });
      logger.info('server backoff', { server: instanceId, milliseconds });
    },
    remainingMilliseconds(instanceId) {
      const backoff = current(instanceId);
      return backoff === undefined ? 0 : backoff.until - now();
    },
    noteSent(instanceId) {
      if (current(instanceId) !== undefined) requestsSent += 1;
    },
    list() {
      const listed: StandingStatement[] = [];
      for (const instanceId of [...backoffs.keys()]) {
        const backoff = current(instanceId);
        if (backoff === undefined) continue;
        listed.push({ instanceId, ageMilliseconds: now() - backoff.since });
      }
      return listed;
    },
    requestsSent: () => requestsSent,
    forgetOver() {
      for (const instanceId of [...backoffs.keys()]) current(instanceId);
    },
  };
}
