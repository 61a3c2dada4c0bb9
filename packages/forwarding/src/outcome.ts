/**
 * How one attempt at a backend server ended. `NotRun` is created only with proof: the request was
 * never sent, or the server itself states that it did not run it. Every other end without a
 * response is `Unknown`. A refusal that promises "not run" takes a `NotRunProof`, which cannot be
 * obtained from an unknown outcome.
 */
import type { ResponseHead } from './caller-protocol.js';

export enum OutcomeKind {
  Answered = 'answered',
  NotRun = 'notRun',
  Unknown = 'unknown',
}

export interface NotRun {
  readonly kind: OutcomeKind.NotRun;
  readonly reason: string;
  /** The server was reached and refused the request; false when it could not be reached. */
  readonly wasRefused: boolean;
  /** Whether the request may have left this process. */
  readonly wasSent: boolean;
}

export interface Unknown {
  readonly kind: OutcomeKind.Unknown;
  readonly reason: string;
}

export interface Answered {
  readonly kind: OutcomeKind.Answered;
  readonly head: ResponseHead;
  readonly body: Buffer;
}

export type Outcome = Answered | NotRun | Unknown;

export function describeOutcome(outcome: Outcome): string {
  return outcome.kind === OutcomeKind.Answered ? `status ${outcome.head.status}` : outcome.reason;
}

declare const proof: unique symbol;

/** Evidence that no attempt at a request has run or can run. */
export interface NotRunProof {
  readonly [proof]: true;
  readonly reason: string;
}

/** Proves that no attempt at a request ran; undefined when any of them may have run. */
export function proveNotRun(outcomes: readonly Outcome[], reason: string): NotRunProof | undefined {
  for (const outcome of outcomes) {
    if (outcome.kind !== OutcomeKind.NotRun) return undefined;
  }
  return { reason } as NotRunProof;
}
