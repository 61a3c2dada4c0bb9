/**
 * Limits how often a leader sends the same order to the same rank. Orders are repeated until
 * reports show their effect, and the leader evaluates reports every few milliseconds, sooner than
 * an order can take effect.
 */
import { RankOrderKind } from '@lapisbridge/placement';
import type { AddressedOrder } from '@lapisbridge/placement';

export interface OrderThrottle {
  /** Whether the order may be sent now. If so, the order counts as sent. */
  tryAcquire(addressed: AddressedOrder): boolean;
  /** Permits an immediate resend of an order that was not answered and may be lost. */
  markUnanswered(addressed: AddressedOrder): void;
  reset(): void;
}

/** Minimum time between two sends of the same order to the same rank. */
const RESEND_INTERVAL_MILLISECONDS: Readonly<Record<RankOrderKind, number>> = {
  // Loading a few experts takes some hundred milliseconds.
  [RankOrderKind.Prepare]: 500,
  [RankOrderKind.Arm]: 60,
  [RankOrderKind.Disarm]: 60,
  [RankOrderKind.Hold]: 60,
  [RankOrderKind.Release]: 60,
};

function keyOf({ rank, order }: AddressedOrder): string {
  const version = 'version' in order ? order.version : '';
  const step = 'step' in order ? order.step : '';
  return `${rank}/${order.kind}/${order.epoch}/${version}/${step}`;
}

export function createOrderThrottle(now: () => number): OrderThrottle {
  const sentAt = new Map<string, number>();
  return {
    tryAcquire(addressed) {
      const key = keyOf(addressed);
      const last = sentAt.get(key) ?? -Infinity;
      if (now() - last < RESEND_INTERVAL_MILLISECONDS[addressed.order.kind]) return false;
      sentAt.set(key, now());
      return true;
    },
    markUnanswered: (addressed) => void sentAt.delete(keyOf(addressed)),
    reset: () => sentAt.clear(),
  };
}
