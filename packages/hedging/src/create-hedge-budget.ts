/**
 * The duplicates of one entry: when a request is late, by route, and what is left of the limit, by
 * service.
 */
import { createHedgeAllowance } from './hedge-allowance.js';
import type { HedgeAllowance } from './hedge-allowance.js';
import type { HedgeBudget, HedgeCount, HedgeLimit } from './hedge-budget.js';
import { createLateThreshold } from './late-threshold.js';
import type { LateThreshold } from './late-threshold.js';
import type { HedgeDenial } from './plan-hedge.js';

export interface HedgeBudgetOptions {
  /** Undefined while hedging is off. */
  limit(): HedgeLimit | undefined;
  now(): number;
}

interface ServiceHedges {
  readonly allowance: HedgeAllowance;
  readonly denied: Map<HedgeDenial, number>;
  sent: number;
  won: number;
}

/** Routes and services that an operator has removed stay known until there are this many. */
const MAXIMUM_NAMES = 1000;

function findOrCreate<Value>(known: Map<string, Value>, name: string, create: () => Value): Value {
  const found = known.get(name);
  if (found !== undefined) return found;
  if (known.size >= MAXIMUM_NAMES) known.clear();
  const created = create();
  known.set(name, created);
  return created;
}

export function createHedgeBudget({ limit, now }: HedgeBudgetOptions): HedgeBudget {
  const thresholds = new Map<string, LateThreshold>();
  const services = new Map<string, ServiceHedges>();

  function hedgesOf(service: string): ServiceHedges {
    return findOrCreate(services, service, () => ({
      allowance: createHedgeAllowance(now),
      denied: new Map(),
      sent: 0,
      won: 0,
    }));
  }

  return {
    isEnabled: () => limit() !== undefined,
    recordRequest(service) {
      const current = limit();
      if (current !== undefined) hedgesOf(service).allowance.recordRequest(current);
    },
    recordResponse(route, milliseconds) {
      if (limit() === undefined) return;
      findOrCreate(thresholds, route, createLateThreshold).record(milliseconds);
    },
    lateAfterMilliseconds(route) {
      if (limit() === undefined) return undefined;
      return thresholds.get(route)?.lateAfterMilliseconds();
    },
    tryTake(service) {
      const current = limit();
      if (current === undefined) return false;
      const hedges = hedgesOf(service);
      if (!hedges.allowance.tryTake(current)) return false;
      hedges.sent += 1;
      return true;
    },
    refund(service) {
      const hedges = hedgesOf(service);
      hedges.allowance.refund();
      hedges.sent -= 1;
    },
    recordWin(service) {
      hedgesOf(service).won += 1;
    },
    recordDenial(service, denial) {
      const { denied } = hedgesOf(service);
      denied.set(denial, (denied.get(denial) ?? 0) + 1);
    },
    counts() {
      const counts: HedgeCount[] = [];
      for (const [service, { sent, won, denied }] of services) {
        counts.push({ service, sent, won, denied });
      }
      return counts;
    },
  };
}
