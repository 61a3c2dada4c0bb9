/**
 * The last word about a call that no server has answered: its stored result, or an error that
 * says truthfully whether it ran.
 */
import type { OutcomeReport, StoredResult } from '@lapisbridge/at-most-once';
import { LapisError, ResultCode } from '@lapisbridge/errors';
import { OperationKind, Ran, RequestOutcome } from '@lapisbridge/types';

import type { CallContext, CallState, ServiceAnswer, ServiceCall } from './call-types.js';

function toAnswer(result: StoredResult, instanceId: string): ServiceAnswer {
  return {
    status: result.status,
    contentType: result.contentType,
    body: Buffer.from(result.body, 'base64'),
    replayed: true,
    instanceId,
  };
}

function ranOf(proof: OutcomeReport): Ran {
  switch (proof.outcome) {
    case RequestOutcome.NotRun:
      return Ran.No;
    case RequestOutcome.Done:
      return Ran.Yes;
    case RequestOutcome.Running:
    case RequestOutcome.Unknown:
      return Ran.Unknown;
    default: {
      const unreachable: never = proof.outcome;
      return unreachable;
    }
  }
}

export function failure(
  call: ServiceCall,
  state: CallState,
  code: ResultCode,
  ran: Ran,
): LapisError {
  const { retryAfterMilliseconds } = call.document.limits;
  return new LapisError(code, state.lastReason, {
    ran,
    retryAfterMilliseconds: Math.max(state.retryAfterMilliseconds, retryAfterMilliseconds),
  });
}

/** The answer of a call that has been found out to be done, or the error that says what is known. */
export async function concludeProof(
  context: CallContext,
  call: ServiceCall,
  state: CallState,
  proof: OutcomeReport,
  codeWhenNotRun: ResultCode,
): Promise<ServiceAnswer> {
  context.logger.decision({
    kind: 'outcome',
    subject: call.requestId,
    choice: proof.outcome,
    reason: proof.known ? 'claim row' : 'not to be found out now',
  });
  if (proof.keyReused === true) {
    throw failure(call, state, ResultCode.IdempotencyKeyReused, ranOf(proof));
  }
  switch (proof.outcome) {
    case RequestOutcome.Done: {
      const result = await context.outcomes.loadResult(proof);
      if (result !== undefined) return toAnswer(result, '');
      throw failure(call, state, ResultCode.OutcomeUnknown, Ran.Yes);
    }
    case RequestOutcome.NotRun:
      throw failure(call, state, codeWhenNotRun, Ran.No);
    case RequestOutcome.Running:
      throw failure(call, state, ResultCode.StillRunning, Ran.Unknown);
    case RequestOutcome.Unknown:
      throw failure(call, state, ResultCode.OutcomeUnknown, Ran.Unknown);
    default: {
      const unreachable: never = proof.outcome;
      return unreachable;
    }
  }
}

/** No server is left to try. "Not run" is said only if it holds for the key, not just for this attempt. */
export async function giveUp(
  context: CallContext,
  call: ServiceCall,
  state: CallState,
): Promise<ServiceAnswer> {
  const { lastCode } = state;
  if (call.operation === OperationKind.Idempotent) {
    throw failure(call, state, lastCode, state.indeterminate ? Ran.Unknown : Ran.No);
  }
  if (state.indeterminate) {
    const proof = await context.outcomes.prove(call.key, call.requestId);
    return concludeProof(context, call, state, proof, ResultCode.EngineFailed);
  }
  const seen = await context.outcomes.look(call.key);
  const proof =
    seen.outcome === RequestOutcome.Running
      ? await context.outcomes.follow(call.key, call.deadline)
      : seen;
  return concludeProof(context, call, state, proof, lastCode);
}
