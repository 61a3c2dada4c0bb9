/**
 * Serves one draft: chooses a sidecar, relays, and repairs the answer when a server, a
 * connection or a sidecar is lost on the way.
 */
import type { EventId } from '@lapisbridge/answers';
import { LapisError, ResultCode } from '@lapisbridge/errors';
import { sleep } from '@lapisbridge/kernel';
import type { Random } from '@lapisbridge/kernel';
import { ChoiceKind, planChoice } from '@lapisbridge/routing';
import { BackendServerKind, Ran } from '@lapisbridge/types';
import { MessageKind } from '@lapisbridge/wire';
import type { DraftStart, Resume } from '@lapisbridge/wire';

import { AttemptOutcomeKind, runDraftAttempt } from './draft-attempt.js';
import type { AttemptOutcome } from './draft-attempt.js';
import { affinityKey } from './draft-request.js';
import { estimateTokens, initialState, resumeMessage, startMessage } from './draft-state.js';
import type { Draft, DraftContext, DraftState } from './draft-state.js';
import { planRepair, RepairKind } from './plan-repair.js';

/** Time for a replaced connection to a sidecar to say hello. */
const RECONNECT_MILLISECONDS = 400;
const BACKOFF_MILLISECONDS = 100;
const MAXIMUM_BACKOFF_MILLISECONDS = 1000;
function choose(context: DraftContext, draft: Draft, state: DraftState): string | undefined {
  const { routing } = draft.document;
  const choice = planChoice({
    candidates: context.pool.candidates(BackendServerKind.ModelRunner, draft.model.name),
    ownZone: context.ownZone,
    avoidedZone: draft.resumable && routing.keepStreamsApart ? context.ownZone : '',
    affinityKey: affinityKey(draft.body, routing.affinityCharacters),
    estimatedTokens: estimateTokens(draft),
    excluded: state.tried,
    policy: routing,
    roundRobinIndex: context.nextTurn(),
    random: context.random,
  });
  const chosen = choice.kind === ChoiceKind.Chosen;
  context.logger.decision({
    kind: 'routing',
    subject: draft.requestId,
    choice: chosen ? choice.candidate.instanceId : 'none',
    reason: chosen ? choice.reason : `${choice.tried} tried, none left`,
    candidates: chosen ? choice.scores : [],
  });
  return chosen ? choice.candidate.instanceId : undefined;
}

function runOn(
  context: DraftContext,
  draft: Draft,
  state: DraftState,
  instanceId: string,
  message: DraftStart | Resume,
): Promise<AttemptOutcome> {
  return runDraftAttempt({
    pool: context.pool,
    instanceId,
    message,
    progress: state.progress,
    sink: draft.sink,
    timeoutMilliseconds: draft.deadline.remaining(),
    callerGone: draft.callerGone,
    onText() {
      state.admitted = true;
      state.pauses = 0;
      draft.onFirstText();
    },
  });
}

async function resumeThere(
  context: DraftContext,
  draft: Draft,
  state: DraftState,
  instanceId: string,
  takeOver: boolean,
): Promise<AttemptOutcome> {
  state.attempt += 1;
  state.resumedHere = true;
  if (!(await context.pool.connect(instanceId, RECONNECT_MILLISECONDS))) {
    return { kind: AttemptOutcomeKind.Lost };
  }
  const message = resumeMessage(context, draft, state, takeOver);
  return runOn(context, draft, state, instanceId, message);
}

/**
 * Finds the sidecar that holds a broken-off answer. Its id stands in the event id; when the
 * answer has moved since, or that sidecar forgot it, the others of the model are asked.
 */
async function findBrokenOff(
  context: DraftContext,
  draft: Draft,
  state: DraftState,
  from: EventId,
): Promise<AttemptOutcome> {
  const others = context.pool
    .candidates(BackendServerKind.ModelRunner, draft.model.name)
    .map(({ instanceId }) => instanceId)
    .filter((instanceId) => instanceId !== from.instanceId);
  let outcome: AttemptOutcome = { kind: AttemptOutcomeKind.Lost };
  for (const instanceId of [from.instanceId, ...others]) {
    outcome = await resumeThere(context, draft, state, instanceId, true);
    const unknownThere =
      outcome.kind === AttemptOutcomeKind.Lost ||
      (outcome.kind === AttemptOutcomeKind.Failed && outcome.code === ResultCode.UnknownRequest);
    if (!unknownThere || state.progress.offset !== from.offset) return outcome;
  }
  return outcome;
}

/** The next attempt on a server of this entry's choice; undefined when none is left. */
async function startElsewhere(
  context: DraftContext,
  draft: Draft,
  state: DraftState,
): Promise<{ readonly instanceId: string; readonly outcome: AttemptOutcome } | undefined> {
  const instanceId = choose(context, draft, state);
  if (instanceId === undefined) return undefined;
  state.attempt += 1;
  state.resumedHere = false;
  const message = startMessage(context, draft, state);
  return { instanceId, outcome: await runOn(context, draft, state, instanceId, message) };
}

function giveUp(draft: Draft, state: DraftState, code: ResultCode, reason: string): LapisError {
  const untouched = !state.admitted && state.breakages === 0;
  return new LapisError(code, reason, {
    ran: untouched ? Ran.No : Ran.Unknown,
    retryAfterMilliseconds:
      state.retryAfterMilliseconds || draft.document.limits.retryAfterMilliseconds,
  });
}

/** An admitted answer waits for capacity to come back; a fresh request is answered at once. */
async function waitForCapacity(draft: Draft, state: DraftState, random: Random): Promise<boolean> {
  if (!state.admitted && state.breakages === 0) return false;
  const pause = Math.min(BACKOFF_MILLISECONDS * 2 ** state.pauses, MAXIMUM_BACKOFF_MILLISECONDS);
  if (draft.deadline.remaining() <= pause || draft.callerGone.aborted) return false;
  state.pauses += 1;
  state.tried.clear();
  await sleep(pause * (0.5 + random()));
  return true;
}

function reasonOf(outcome: AttemptOutcome): string {
  return 'reason' in outcome ? outcome.reason : outcome.kind;
}

/** Tells the sidecar that its work is no longer wanted, or that the caller may come back. */
function leave(context: DraftContext, draft: Draft, state: DraftState, instanceId: string): void {
  const kind = draft.resumable && state.admitted ? MessageKind.Detach : MessageKind.Cancel;
  context.pool.send(instanceId, { kind, requestId: draft.requestId, attempt: state.attempt });
}

/** Relays the whole answer into the sink; throws when it cannot be completed. */
export async function serveDraft(context: DraftContext, draft: Draft): Promise<void> {
  const state = initialState(draft.resumeFrom);
  context.budget.deposit();
  let current = draft.resumeFrom?.instanceId ?? '';
  let outcome: AttemptOutcome | undefined;
  if (draft.resumeFrom !== undefined) {
    outcome = await findBrokenOff(context, draft, state, draft.resumeFrom);
  }
  for (;;) {
    if (outcome === undefined) {
      const started = await startElsewhere(context, draft, state);
      if (started === undefined) {
        if (await waitForCapacity(draft, state, context.random)) continue;
        const code = draft.deadline.remaining() === 0 ? ResultCode.TimedOut : state.lastCode;
        throw giveUp(draft, state, code, 'no backend server can take it now');
      }
      current = started.instanceId;
      outcome = started.outcome;
    }
    const repair = planRepair(outcome, {
      breakages: state.breakages,
      wholeText: state.progress.wholeText,
      resumedHere: state.resumedHere,
    });
    if (repair.kind !== RepairKind.Done) {
      context.logger.decision({
        kind: 'repair',
        subject: draft.requestId,
        choice: repair.kind,
        reason: `${current}: ${reasonOf(outcome)}`,
        code: repair.code,
      });
    }
    switch (repair.kind) {
      case RepairKind.Done: {
        const complete = outcome as AttemptOutcome & { kind: AttemptOutcomeKind.Complete };
        draft.sink.finish(complete.finishReason, complete.completionTokens);
        return;
      }
      case RepairKind.ResumeThere:
        outcome = await resumeThere(context, draft, state, current, false);
        break;
      case RepairKind.GoElsewhere: {
        state.tried.add(current);
        state.lastCode = repair.code;
        if (outcome.kind === AttemptOutcomeKind.Refused) {
          state.retryAfterMilliseconds = outcome.retryAfterMilliseconds;
        } else {
          state.breakages += 1;
        }
        if (repair.needsBudget && !state.admitted && !context.budget.tryWithdraw()) {
          throw giveUp(draft, state, ResultCode.Overloaded, 'the retry budget is spent');
        }
        outcome = undefined;
        break;
      }
      case RepairKind.GiveUp:
        leave(context, draft, state, current);
        throw giveUp(draft, state, repair.code, reasonOf(outcome));
      case RepairKind.CallerGone:
        leave(context, draft, state, current);
        return;
      default: {
        const unreachable: never = repair.kind;
        throw new Error(String(unreachable));
      }
    }
  }
}
