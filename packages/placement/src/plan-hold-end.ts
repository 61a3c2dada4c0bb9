/**
 * When the rank at which a hold stands ends the hold itself. Its leader may have stopped, and every
 * stream of the group waits for the release. Pure: a fresh report of that rank goes in.
 *
 * Leaders arm a rank at which the hold stands before all others, and disarm it after all others. So
 * as long as it is not armed no rank is, and none can be any more once its prepared version has been
 * replaced: orders to arm it that are still on their way are refused then.
 */
import { isVoidingVersion, voidingVersionOf } from './map-version.js';
import type { RankReport } from './rank-report.js';

export enum HoldEndKind {
  /** The hold stays, or there is none. */
  Keep = 'keep',
  /** Prepare the map in force under this version; the hold can be released after that. */
  Void = 'void',
  Release = 'release',
}

export type HoldEnd =
  | { readonly kind: HoldEndKind.Keep }
  | { readonly kind: HoldEndKind.Void; readonly version: number }
  | { readonly kind: HoldEndKind.Release; readonly step: number };

/**
 * Longest time that the group waits at a hold under which nothing is armed. A leader arms within
 * one round of orders, so this leaves time to repeat an order that was lost.
 */
const MAXIMUM_HOLD_WAIT_MILLISECONDS = 250;

/** Whether the next pass is the one that this rank keeps the group from beginning. */
export function isAtHold({ step, heldStep }: RankReport): boolean {
  return heldStep !== undefined && step === heldStep - 1;
}

/**
 * `waitedMilliseconds`: how long the group has been at this hold. A hold that the group has not
 * reached is left alone: leaders hold later passes than the next one, so that a release which is
 * carried out late cannot end another hold.
 */
export function planHoldEnd(report: RankReport, waitedMilliseconds: number): HoldEnd {
  const { isOpen, armed, heldStep, preparedVersion } = report;
  const isDue = isAtHold(report) && waitedMilliseconds >= MAXIMUM_HOLD_WAIT_MILLISECONDS;
  if (!isOpen || armed !== undefined || heldStep === undefined || !isDue) {
    return { kind: HoldEndKind.Keep };
  }
  if (preparedVersion === undefined || isVoidingVersion(preparedVersion)) {
    return { kind: HoldEndKind.Release, step: heldStep };
  }
  return { kind: HoldEndKind.Void, version: voidingVersionOf(preparedVersion) };
}
