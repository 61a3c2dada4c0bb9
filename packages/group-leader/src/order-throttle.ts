/**
 * Keeps a leader from giving the same order to the same rank again before it can have taken
 * effect: orders are repeated until reports show them, and a look comes every few milliseconds.
 */
import { RankOrderKind } from '@lapisbridge/placement';
import type { AddressedOrder } from '@lapisbridge/placement';

export interface OrderThrottle {
  /** Whether the order may go out now; it then counts as given. */
  tryAcquire(addressed: AddressedOrder): boolean;
  /** The order got no answer: it may be lost, and is due again at once. */
  markUnanswered(addressed: AddressedOrder): void;
  reset(): void;
}

/** Pauses before the same order goes to the same rank again. */
const RESEND_INTERVAL_MILLISECONDS: Readonly<Record<RankOrderKind, number>> = {
  // A copy of a few experts takes some hundred milliseconds.
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
