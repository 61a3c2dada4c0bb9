/**
 * Keeps a leader from giving the same order to the same rank again before it can have taken
 * effect: orders are repeated until reports show them, and a look comes every few milliseconds.
 */
import { RankOrderKind } from '@lapisbridge/placement';
import type { AddressedOrder } from '@lapisbridge/placement';

export interface OrderPacer {
  /** Whether the order may go out now; it then counts as given. */
  isDue(addressed: AddressedOrder): boolean;
  /** The order got no answer: it may be lost, and is due again at once. */
  unanswered(addressed: AddressedOrder): void;
  forget(): void;
}

/** Pauses before the same order goes to the same rank again. */
const REPEAT_MILLISECONDS: Readonly<Record<RankOrderKind, number>> = {
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

export function createOrderPacer(now: () => number): OrderPacer {
  const givenAt = new Map<string, number>();
  return {
    isDue(addressed) {
      const key = keyOf(addressed);
      const last = givenAt.get(key) ?? -Infinity;
      if (now() - last < REPEAT_MILLISECONDS[addressed.order.kind]) return false;
      givenAt.set(key, now());
      return true;
    },
    unanswered: (addressed) => void givenAt.delete(keyOf(addressed)),
    forget: () => givenAt.clear(),
  };
}
