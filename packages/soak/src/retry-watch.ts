/**
 * Counts, for each service, what reaches its servers beyond the first arrival of each request, and
 * records the window in which the retries of all entries came closest to the budget.
 */
import { EventKind, findWorstRetryWindow } from '@lapisbridge/history';
import type { History, RetryLimits } from '@lapisbridge/history';

export interface RetryWatch {
  /** A caller sent a request for the service. */
  onRequest(service: string): void;
  /** A request arrived at a server of the service, whatever becomes of it there. */
  onArrival(service: string, requestId: string): void;
  /** Records the windows; called once, at the end. */
  conclude(): void;
}

interface ServiceLoad {
  readonly requestedAt: number[];
  readonly retriedAt: number[];
}

export function createRetryWatch(
  history: History,
  limits: RetryLimits,
  now: () => number,
): RetryWatch {
  const services = new Map<string, ServiceLoad>();
  const arrived = new Set<string>();

  function loadOf(service: string): ServiceLoad {
    const known = services.get(service) ?? { requestedAt: [], retriedAt: [] };
    services.set(service, known);
    return known;
  }

  return {
    onRequest: (service) => void loadOf(service).requestedAt.push(now()),
    onArrival(service, requestId) {
      if (arrived.has(requestId)) loadOf(service).retriedAt.push(now());
      arrived.add(requestId);
    },
    conclude() {
      for (const [service, { requestedAt, retriedAt }] of services) {
        const worst = findWorstRetryWindow(requestedAt, retriedAt, limits);
        if (worst === undefined) continue;
        const { retries, allowed } = worst;
        history.record({ kind: EventKind.RetryLoad, service, retries, allowed });
      }
    },
  };
}
