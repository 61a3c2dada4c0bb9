/**
 * Decides when the rank that has a hold ends it by itself. The leader may have stopped, and every
 * stream of the group waits for the release. Pure: a fresh report of that rank goes in.
 *
 * Leaders arm the rank that has the hold before all others and disarm it after all others. So while
 * it is not armed, no rank is. Once its prepared version has been replaced, no rank can be armed
 * any more, because orders to arm it that are still in flight will be refused.
 */
import { isVoidingVersion, voidingVersionOf } from './map-version.js';
import type { RankReport } from './rank-report.js';

export enum HoldEndKind {
  /** The hold is kept, or there is none. */
  Keep = 'keep',
  /**
   * Prepare the map in force again under a voiding version, after which the hold can be released.
   */
  Void = 'void',
  Release = 'release',
}

export type HoldEnd =
  | { readonly kind: HoldEndKind.Keep }
  | { readonly kind: HoldEndKind.Void; readonly version: number }
  | { readonly kind: HoldEndKind.Release; readonly step: number };

/**
 * Longest time that the group waits at a hold while nothing is armed. A leader arms within one
 * round of orders, so this leaves time to retry an order that was lost.
 */
const MAXIMUM_HOLD_WAIT_MILLISECONDS = 250;

/** Whether the group has reached the hold: the next pass is the one that this rank holds. */
export function isAtHold({ step, heldStep }: RankReport): boolean {
  return heldStep !== undefined && step === heldStep - 1;
}

/**
 * `waitedMilliseconds` is how long the group has been waiting at this hold. A hold that the group
 * has not reached is kept. Leaders hold passes after the next one, so a release that is carried out
 * late cannot end another hold.
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
