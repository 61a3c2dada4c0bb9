/**
 * Drain orders as a map of last-writer-wins registers. The counter of an order is higher than every
 * counter its author had seen; ties go to the greater author name. Merging is commutative,
 * associative and idempotent, so orders can spread by gossip while the store is unavailable and be
 * written to it later.
 */
import type { DrainTargetKind, ServiceState } from '@lapisbridge/types';

export interface DrainOrder {
  readonly targetKind: DrainTargetKind;
  readonly target: string;
  readonly state: ServiceState;
  readonly counter: number;
  readonly author: string;
}

export type DrainOrders = Readonly<Record<string, DrainOrder>>;

export function orderKey(order: Pick<DrainOrder, 'targetKind' | 'target'>): string {
  return `${order.targetKind}:${order.target}`;
}

function isNewer(left: DrainOrder, right: DrainOrder): boolean {
  if (left.counter !== right.counter) return left.counter > right.counter;
  return left.author > right.author;
}

export function mergeOrders(left: DrainOrders, right: DrainOrders): DrainOrders {
  const merged: Record<string, DrainOrder> = { ...left };
  for (const [key, order] of Object.entries(right)) {
    const known = merged[key];
    if (known === undefined || isNewer(order, known)) merged[key] = order;
  }
  return merged;
}

function highestCounter(orders: DrainOrders): number {
  let highest = 0;
  for (const order of Object.values(orders)) highest = Math.max(highest, order.counter);
  return highest;
}

/**
 * Counter of a new order: higher than all known counters, and at least the wall clock. Of two
 * orders given through entries that cannot reach each other, the later one then wins as far as
 * their clocks agree. Clock skew can make the earlier one win, but never affects merging.
 */
export function nextCounter(orders: DrainOrders, wallClockMilliseconds: number): number {
  return Math.max(highestCounter(orders) + 1, wallClockMilliseconds);
}

/** Canonical text of the orders: equal for two maps exactly if their orders are equal. */
export function ordersFingerprint(orders: DrainOrders): string {
  const entries = Object.entries(orders).map(
    ([key, order]) => `${key}=${order.state}@${order.counter}/${order.author}`,
  );
  return entries.sort().join(',');
}
