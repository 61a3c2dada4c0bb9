/**
 * Keeps a leader from giving the same order to the same rank again before it can have taken
 * effect: orders are repeated until reports show them, and a look comes every few milliseconds.
 */
import { RankOrderKind } from '@lapisbridge/placement';
import type { AddressedOrder } from '@lapisbridge/placement';

export interface OrderPacer {
  /** Whether the order may go out now; it then counts as given. */
  isDue(addressed: AddressedOrder): boolean;
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

export function createOrderPacer(now: () => number): OrderPacer {
  const givenAt = new Map<string, number>();
  return {
    isDue({ rank, order }) {
      const version = 'version' in order ? order.version : '';
      const step = 'step' in order ? order.step : '';
      const key = `${rank}/${order.kind}/${order.epoch}/${version}/${step}`;
      const last = givenAt.get(key) ?? -Infinity;
      if (now() - last < REPEAT_MILLISECONDS[order.kind]) return false;
      givenAt.set(key, now());
      return true;
    },
    forget: () => givenAt.clear(),
  };
}
