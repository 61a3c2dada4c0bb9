/**
 * Decides how a draft goes on after an attempt ended without a whole answer.
 */
import { ResultCode } from '@lapisbridge/errors';

import { AttemptOutcomeKind } from './draft-attempt.js';
import type { AttemptOutcome } from './draft-attempt.js';

export enum RepairKind {
  Done = 'done',
  /** Ask the same sidecar for the rest, on a new connection. */
  ResumeThere = 'resumeThere',
  /** Go on from the delivered text on another backend server. */
  GoElsewhere = 'goElsewhere',
  GiveUp = 'giveUp',
  CallerGone = 'callerGone',
}

export interface Repair {
  readonly kind: RepairKind;
  readonly code: ResultCode;
  /** Takes one retry from the entry's budget. */
  readonly needsBudget: boolean;
}

export interface RepairState {
  /** Attempts that were admitted and then broke. */
  readonly breakages: number;
  /** Whether this entry holds the text that the caller already has. */
  readonly wholeText: boolean;
  readonly resumedHere: boolean;
}

/** Breakages of one answer after which the fault is taken to lie in the request. */
const MAXIMUM_BREAKAGES = 4;

/** Refusals that tell of too much load: going elsewhere with them takes from the retry budget. */
export function isOverload(code: ResultCode): boolean {
  return code === ResultCode.Overloaded || code === ResultCode.DeadlineTooShort;
}

function repair(kind: RepairKind, code: ResultCode, needsBudget = false): Repair {
  return { kind, code, needsBudget };
}

function afterBreakage(state: RepairState): Repair {
  if (!state.wholeText) return repair(RepairKind.GiveUp, ResultCode.AnswerLost);
  if (state.breakages >= MAXIMUM_BREAKAGES) {
    return repair(RepairKind.GiveUp, ResultCode.EngineFailed);
  }
  return repair(RepairKind.GoElsewhere, ResultCode.EngineFailed);
}

export function planRepair(outcome: AttemptOutcome, state: RepairState): Repair {
  switch (outcome.kind) {
    case AttemptOutcomeKind.Complete:
      return repair(RepairKind.Done, ResultCode.Accepted);
    case AttemptOutcomeKind.Refused:
      // Refusals are what overload looks like: unlimited retries would multiply it.
      return repair(RepairKind.GoElsewhere, outcome.code, isOverload(outcome.code));
    case AttemptOutcomeKind.Failed:
      if (outcome.code === ResultCode.BadRequest || outcome.code === ResultCode.Cancelled) {
        return repair(RepairKind.GiveUp, outcome.code);
      }
      return afterBreakage(state);
    case AttemptOutcomeKind.Lost:
      if (!state.resumedHere) return repair(RepairKind.ResumeThere, ResultCode.EngineFailed);
      return afterBreakage(state);
    case AttemptOutcomeKind.TimedOut:
      return repair(RepairKind.GiveUp, ResultCode.TimedOut);
    case AttemptOutcomeKind.CallerGone:
      return repair(RepairKind.CallerGone, ResultCode.Cancelled);
    default: {
      const unreachable: never = outcome;
      return unreachable;
    }
  }
}
