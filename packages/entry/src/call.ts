/**
 * Serves one call of a plain service. Idempotent calls are repeated elsewhere when an answer
 * is lost; at-most-once calls only once it is proved that the lost attempt cannot run.
 */
import { ResultCode } from '@lapisbridge/errors';
import { ChoiceKind, planChoice } from '@lapisbridge/routing';
import type { Candidate } from '@lapisbridge/routing';
import { BackendServerKind, OperationKind, Ran, RequestOutcome } from '@lapisbridge/types';
import { MessageKind } from '@lapisbridge/wire';
import type { CallStart } from '@lapisbridge/wire';

import { CallOutcomeKind, runCallAttempt } from './call-attempt.js';
import type { CallOutcome } from './call-attempt.js';
import type { CallContext, CallState, ServiceAnswer, ServiceCall } from './call-types.js';
import { concludeProof, failure, giveUp } from './conclude-call.js';
import { runHedged } from './hedged-attempt.js';
import type { HedgedOutcome } from './hedged-attempt.js';
import { isOverload } from './plan-repair.js';

const RECONNECT_MILLISECONDS = 500;
/** Attempts at one call, however many servers there are. */
const MAXIMUM_ROUNDS = 12;
/** Kept back from the caller's time, so that a truthful answer can still be found out. */
const PROOF_MILLISECONDS = 300;

function choose(context: CallContext, call: ServiceCall, state: CallState): Candidate | undefined {
  let candidates = context.pool.candidates(BackendServerKind.PlainService, call.service);
  if (call.operation === OperationKind.AtMostOnce) {
    const reaching = candidates.filter(({ load }) => load.storeReachable);
    if (reaching.length > 0) candidates = reaching;
  }
  const choice = planChoice({
    candidates,
    ownZone: context.ownZone,
    avoidedZone: '',
    affinityKey: '',
    estimatedTokens: 1,
    excluded: state.tried,
    policy: call.document.routing,
    roundRobinIndex: context.nextTurn(),
    random: context.random,
  });
  const chosen = choice.kind === ChoiceKind.Chosen ? choice.candidate : undefined;
  context.logger.decision({
    kind: 'routing',
    subject: call.requestId,
    choice: chosen?.instanceId ?? 'none',
    reason: choice.kind === ChoiceKind.Chosen ? choice.reason : `${choice.tried} tried, none left`,
    candidates: choice.kind === ChoiceKind.Chosen ? choice.scores : [],
  });
  return chosen;
}

function startMessage(call: ServiceCall, state: CallState, attempt: number): CallStart {
  return {
    kind: MessageKind.CallStart,
    requestId: call.requestId,
    attempt,
    account: call.account,
    service: call.service,
    operation: call.operation,
    method: call.method,
    path: call.path,
    contentType: call.contentType,
    remainingMilliseconds: call.deadline.remaining(),
    body: call.body,
    idempotencyKey: call.key.idempotencyKey,
    digest: call.key.digest,
    claimVersion: state.claimVersion,
  };
}

function attemptTimeout(call: ServiceCall): number {
  return Math.max(1, call.deadline.remaining() - PROOF_MILLISECONDS);
}

/** Runs one attempt; when its connection breaks, asks the same sidecar once more on a new one. */
async function attemptOn(
  context: CallContext,
  call: ServiceCall,
  state: CallState,
  instanceId: string,
  attempt: number,
): Promise<CallOutcome> {
  const input = { pool: context.pool, instanceId, callerGone: call.callerGone };
  const first = await runCallAttempt({
    ...input,
    message: startMessage(call, state, attempt),
    timeoutMilliseconds: attemptTimeout(call),
  });
  if (first.kind !== CallOutcomeKind.Lost) return first;
  if (!(await context.pool.connect(instanceId, RECONNECT_MILLISECONDS))) return first;
  const resumed = await runCallAttempt({
    ...input,
    message: {
      kind: MessageKind.Resume,
      entryId: context.entryId,
      requestId: call.requestId,
      attempt,
      account: call.account,
      offset: 0,
      credit: 0,
      takeOver: false,
    },
    timeoutMilliseconds: attemptTimeout(call),
  });
  // A restarted sidecar does not know the attempt: that is no proof that it did not run.
  const forgotten =
    resumed.kind === CallOutcomeKind.Failed && resumed.code === ResultCode.UnknownRequest;
  return forgotten ? { kind: CallOutcomeKind.Lost } : resumed;
}

/** One attempt, and for idempotent calls a second one elsewhere when the first is late. */
async function attemptMaybeTwice(
  context: CallContext,
  call: ServiceCall,
  state: CallState,
  instanceId: string,
): Promise<HedgedOutcome> {
  const startedAt = performance.now();
  const idempotent = call.operation === OperationKind.Idempotent;
  const hedged = await runHedged(
    {
      run: (name, attempt) => attemptOn(context, call, state, name, attempt),
      second() {
        const excluded = new Set([...state.tried, instanceId]);
        const other = choose(context, call, { ...state, tried: excluded });
        if (other === undefined || !context.budget.tryWithdraw()) return undefined;
        state.attempt += 1;
        return { instanceId: other.instanceId, attempt: state.attempt };
      },
      cancel(name, message) {
        context.pool.send(name, { ...message, requestId: call.requestId });
      },
      hedgeAfterMilliseconds: idempotent ? context.hedgeTimer.hedgeAfter(call.service) : undefined,
    },
    instanceId,
    state.attempt,
  );
  if (idempotent && hedged.outcome.kind === CallOutcomeKind.Answered) {
    context.hedgeTimer.observe(call.service, performance.now() - startedAt);
  }
  return hedged;
}

/** After a lost attempt at an at-most-once call: certain, or not to be repeated. */
async function afterLostClaim(
  context: CallContext,
  call: ServiceCall,
  state: CallState,
): Promise<ServiceAnswer | undefined> {
  let proof = await context.outcomes.prove(call.key, call.requestId);
  if (proof.outcome === RequestOutcome.Running) {
    proof = await context.outcomes.follow(call.key, call.deadline);
  }
  if (proof.outcome === RequestOutcome.NotRun && proof.version !== undefined) {
    state.indeterminate = false;
    state.claimVersion = proof.version;
    return undefined;
  }
  return concludeProof(context, call, state, proof, ResultCode.EngineFailed);
}

async function afterFailure(
  context: CallContext,
  call: ServiceCall,
  state: CallState,
  outcome: CallOutcome & { kind: CallOutcomeKind.Failed },
): Promise<ServiceAnswer | undefined> {
  const { code } = outcome;
  if (call.operation === OperationKind.Idempotent) {
    state.indeterminate = outcome.ran !== Ran.No;
    return undefined;
  }
  if (code === ResultCode.StillRunning) {
    const proof = await context.outcomes.follow(call.key, call.deadline);
    return concludeProof(context, call, state, proof, ResultCode.EngineFailed);
  }
  throw failure(call, state, code, outcome.ran);
}

function noteRefusal(
  state: CallState,
  outcome: CallOutcome & { kind: CallOutcomeKind.Refused },
): void {
  state.lastCode = outcome.code;
  state.lastReason = outcome.reason;
  state.retryAfterMilliseconds = outcome.retryAfterMilliseconds;
  if (outcome.claimVersion !== undefined) state.claimVersion = outcome.claimVersion;
}

export async function serveCall(context: CallContext, call: ServiceCall): Promise<ServiceAnswer> {
  const state: CallState = {
    attempt: 0,
    rounds: 0,
    claimVersion: 0,
    indeterminate: false,
    lastCode: ResultCode.NoBackendServer,
    lastReason: 'no backend server can take it now',
    retryAfterMilliseconds: 0,
    tried: new Set(),
  };
  context.budget.deposit();
  for (;;) {
    const candidate = choose(context, call, state);
    if (candidate === undefined) return giveUp(context, call, state);
    state.attempt += 1;
    const { instanceId, outcome } = await attemptMaybeTwice(
      context,
      call,
      state,
      candidate.instanceId,
    );
    switch (outcome.kind) {
      case CallOutcomeKind.Answered: {
        const { status, contentType, body, replayed } = outcome.answer;
        return { status, contentType, body, replayed, instanceId };
      }
      case CallOutcomeKind.Refused:
        noteRefusal(state, outcome);
        // A superseded claim may be tried again on the same server, from the newer version.
        if (outcome.code !== ResultCode.Cancelled) state.tried.add(instanceId);
        if (isOverload(outcome.code) && !context.budget.tryWithdraw()) {
          return giveUp(context, call, state);
        }
        break;
      case CallOutcomeKind.Failed: {
        state.lastReason = outcome.reason;
        const answer = await afterFailure(context, call, state, outcome);
        if (answer !== undefined) return answer;
        state.lastCode = outcome.code;
        state.tried.add(instanceId);
        break;
      }
      case CallOutcomeKind.Lost: {
        state.tried.add(instanceId);
        state.lastCode = ResultCode.EngineFailed;
        state.lastReason = `the connection to ${instanceId} was lost`;
        state.indeterminate = true;
        if (call.operation === OperationKind.AtMostOnce) {
          const answer = await afterLostClaim(context, call, state);
          if (answer !== undefined) return answer;
        }
        break;
      }
      case CallOutcomeKind.TimedOut:
        state.indeterminate = true;
        state.lastCode = ResultCode.TimedOut;
        state.lastReason = 'no answer in time';
        return giveUp(context, call, state);
      case CallOutcomeKind.CallerGone: {
        const name = { requestId: call.requestId, attempt: state.attempt };
        context.pool.send(instanceId, { kind: MessageKind.Cancel, ...name });
        throw failure(call, state, ResultCode.Cancelled, Ran.Unknown);
      }
      default: {
        const unreachable: never = outcome;
        throw new Error(String(unreachable));
      }
    }
    state.rounds += 1;
    if (state.rounds > MAXIMUM_ROUNDS) return giveUp(context, call, state);
  }
}
