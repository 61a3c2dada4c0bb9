/**
 * Runs calls of a plain service. For an at-most-once operation the order is fixed:
 * admission, then claim, then dispatch. So nothing refused leaves a claim behind, and
 * nothing is dispatched without one.
 */
import { BackendObservationKind } from '@lapisbridge/admission';
import { ClaimResultKind, ClaimState } from '@lapisbridge/at-most-once';
import type {
  CallAttempt,
  ClaimStore,
  SeenKeys,
  StoredResult,
  AcquiredClaim,
} from '@lapisbridge/at-most-once';
import type { Limits } from '@lapisbridge/config';
import { ResultCode } from '@lapisbridge/errors';
import type { Logger } from '@lapisbridge/logger';
import { OperationKind, Ran } from '@lapisbridge/types';
import type { LoadReport } from '@lapisbridge/types';
import type { AttemptId, CallStart, Channel, Resume } from '@lapisbridge/wire';

import type { BackgroundRetry } from './background-retry.js';
import { answer, failure, refusal } from './call-replies.js';
import type { Reply } from './call-replies.js';
import { EntranceKind } from './gate.js';
import type { Gate } from './gate.js';
import { ServiceOutcomeKind } from './service-client.js';
import type { ServiceClient, ServiceOutcome } from './service-client.js';

export interface CallRunnerOptions {
  readonly gate: Gate;
  readonly service: ServiceClient;
  readonly claims: ClaimStore;
  readonly seenKeys: SeenKeys;
  readonly background: BackgroundRetry;
  readonly logger: Logger;
  limits(): Limits;
  weightOf(account: string): number;
  running(): number;
  noteUnreachable(): void;
  /** The backend server has asked for a backoff, in the words of its answer. */
  noteBackoff(retryAfter: string): void;
  load(): LoadReport;
  storeReachable(): boolean;
  noteStore(reachable: boolean): void;
}

interface Run {
  readonly account: string;
  readonly attempt: number;
  readonly abort: AbortController;
  channel: Channel;
  reply: Reply | undefined;
}

export interface CallRunner {
  isBusy(): boolean;
  start(message: CallStart, channel: Channel): void;
  resume(message: Resume, channel: Channel): boolean;
  cancel(name: AttemptId): void;
}

/** Calls have no token count; one stands for an average of fair-queue tokens. */
const TOKENS_PER_CALL = 1;
/** Time kept back from the caller's remaining time for the way back. */
const RETURN_MILLISECONDS = 20;

export function attemptName({ requestId, attempt }: AttemptId): string {
  return `${requestId}#${attempt}`;
}

export function createCallRunner(options: CallRunnerOptions): CallRunner {
  const { gate, service, claims, seenKeys, background, logger } = options;
  const runs = new Map<string, Run>();
  let active = 0;

  function fail(message: CallStart, code: ResultCode, reason: string, ran: Ran): Reply {
    return failure(message, code, reason, ran, options.limits().retryAfterMilliseconds);
  }

  async function dispatch(message: CallStart): Promise<ServiceOutcome> {
    const startedAt = performance.now();
    const outcome = await service.call({
      method: message.method,
      path: message.path,
      contentType: message.contentType,
      account: message.account,
      idempotencyKey: message.idempotencyKey,
      body: message.body,
      timeoutMilliseconds: Math.max(1, message.remainingMilliseconds - RETURN_MILLISECONDS),
    });
    if (outcome.kind === ServiceOutcomeKind.Answered) {
      const milliseconds = performance.now() - startedAt;
      gate.observe({ kind: BackendObservationKind.Step, milliseconds, running: options.running() });
    } else if (outcome.kind === ServiceOutcomeKind.NotSent || !outcome.timedOut) {
      // A caller's own short deadline says nothing about the service, so it is not evidence.
      gate.observe({ kind: BackendObservationKind.Lost });
    }
    if (outcome.kind === ServiceOutcomeKind.NotSent) options.noteUnreachable();
    if (outcome.kind === ServiceOutcomeKind.Answered && outcome.retryAfter !== undefined) {
      options.noteBackoff(outcome.retryAfter);
    }
    return outcome;
  }

  function toStored(outcome: ServiceOutcome & { kind: ServiceOutcomeKind.Answered }): StoredResult {
    return {
      status: outcome.status,
      contentType: outcome.contentType,
      body: outcome.body.toString('base64'),
    };
  }

  async function runIdempotent(message: CallStart): Promise<Reply> {
    const outcome = await dispatch(message);
    switch (outcome.kind) {
      case ServiceOutcomeKind.Answered:
        return answer(message, toStored(outcome), false);
      case ServiceOutcomeKind.NotSent:
        return fail(message, ResultCode.EngineFailed, outcome.reason, Ran.No);
      case ServiceOutcomeKind.Lost:
        return fail(message, ResultCode.EngineFailed, outcome.reason, Ran.Unknown);
      default: {
        const unreachable: never = outcome;
        return unreachable;
      }
    }
  }

  async function runClaimed(message: CallStart, claim: AcquiredClaim): Promise<Reply> {
    seenKeys.add(message.account, message.idempotencyKey);
    const outcome = await dispatch(message);
    switch (outcome.kind) {
      case ServiceOutcomeKind.Answered: {
        const result = toStored(outcome);
        const settled = await claims.storeOutcome(claim, ClaimState.Done, result);
        if (!settled) background.add(() => claims.storeOutcome(claim, ClaimState.Done, result));
        return answer(message, result, false);
      }
      case ServiceOutcomeKind.NotSent:
        return giveBack(message, claim, outcome.reason);
      case ServiceOutcomeKind.Lost: {
        const settled = await claims.storeOutcome(claim, ClaimState.InDoubt);
        if (!settled) background.add(() => claims.storeOutcome(claim, ClaimState.InDoubt));
        return fail(message, ResultCode.OutcomeUnknown, outcome.reason, Ran.Unknown);
      }
      default: {
        const unreachable: never = outcome;
        return unreachable;
      }
    }
  }

  /** The service was not reached. Others may run the call only once the claim is known to be back. */
  async function giveBack(
    message: CallStart,
    claim: AcquiredClaim,
    reason: string,
  ): Promise<Reply> {
    if (await claims.release(claim)) {
      const given = { code: ResultCode.EngineFailed, reason, retryAfterMilliseconds: 0 };
      return { ...refusal(message, given), claimVersion: claim.version + 1 };
    }
    background.add(() => claims.release(claim));
    return fail(message, ResultCode.StoreUnavailable, 'the claim is not yet back', Ran.No);
  }

  function callOf(message: CallStart): CallAttempt {
    return {
      account: message.account,
      idempotencyKey: message.idempotencyKey,
      attempt: attemptName(message),
      digest: message.digest,
      claimVersion: message.claimVersion,
    };
  }

  async function runAtMostOnce(message: CallStart, run: Run): Promise<Reply> {
    if (!options.storeReachable()) return storeUnavailable(message);
    const call = callOf(message);
    const result = await claims.claim(call);
    options.noteStore(result.kind !== ClaimResultKind.Unavailable);
    logger.decision({
      kind: 'claim',
      subject: message.requestId,
      choice: result.kind,
      reason: `attempt ${message.attempt}`,
    });
    switch (result.kind) {
      case ClaimResultKind.Acquired:
        if (run.abort.signal.aborted) {
          return giveBack(message, result.claim, 'the entry took the attempt back');
        }
        return runClaimed(message, result.claim);
      case ClaimResultKind.Replay:
        return answer(message, result.result, true);
      case ClaimResultKind.KeyReused: {
        const ran = result.ran ? Ran.Yes : Ran.Unknown;
        const reason = 'the key stands for another body';
        return fail(message, ResultCode.IdempotencyKeyReused, reason, ran);
      }
      case ClaimResultKind.Superseded: {
        const reason = 'the call was proved not run after this attempt began';
        const given = { code: ResultCode.Cancelled, reason, retryAfterMilliseconds: 0 };
        return { ...refusal(message, given), claimVersion: result.version };
      }
      case ClaimResultKind.Running:
        return fail(message, ResultCode.StillRunning, 'another attempt runs it', Ran.Unknown);
      case ClaimResultKind.InDoubt: {
        const reason = 'an earlier attempt got no answer';
        return fail(message, ResultCode.OutcomeUnknown, reason, Ran.Unknown);
      }
      case ClaimResultKind.Unavailable:
        background.add(() => claims.abandon(call));
        return storeUnavailable(message);
      default: {
        const unreachable: never = result;
        return unreachable;
      }
    }
  }

  function storeUnavailable(message: CallStart): Reply {
    return refusal(message, {
      code: ResultCode.StoreUnavailable,
      reason: 'the claim could not be written',
      retryAfterMilliseconds: options.limits().retryAfterMilliseconds,
    });
  }

  async function execute(message: CallStart, run: Run): Promise<Reply> {
    const entrance = await gate.enter(
      {
        requestId: message.requestId,
        account: message.account,
        weight: options.weightOf(message.account),
        tokens: TOKENS_PER_CALL,
        remainingMilliseconds: message.remainingMilliseconds,
      },
      run.abort.signal,
    );
    if (entrance.kind === EntranceKind.Refused) {
      const { reason, code } = entrance.refusal;
      logger.decision({
        kind: 'admission',
        subject: message.requestId,
        choice: 'refused',
        reason,
        code,
      });
      return refusal(message, entrance.refusal);
    }
    try {
      if (message.operation === OperationKind.Idempotent) return await runIdempotent(message);
      return await runAtMostOnce(message, run);
    } finally {
      entrance.release();
    }
  }

  async function track(message: CallStart, run: Run): Promise<void> {
    active += 1;
    try {
      run.reply = await execute(message, run).catch((thrown: unknown) => {
        // A fault in one call must not take the process along; what ran is not known then.
        logger.error('call run failed', { requestId: message.requestId, reason: String(thrown) });
        return fail(message, ResultCode.OutcomeUnknown, 'internal error', Ran.Unknown);
      });
      run.channel.send({ ...run.reply, load: options.load() });
      run.channel.release();
    } finally {
      active -= 1;
      setTimeout(() => {
        if (runs.get(message.requestId) === run) runs.delete(message.requestId);
      }, options.limits().answerRetentionMilliseconds).unref();
    }
  }

  return {
    isBusy: () => active > 0,
    start(message, channel) {
      const before = runs.get(message.requestId);
      if (before !== undefined && before.attempt >= message.attempt) return;
      const run: Run = {
        account: message.account,
        attempt: message.attempt,
        abort: new AbortController(),
        channel,
        reply: undefined,
      };
      runs.set(message.requestId, run);
      channel.acquire();
      void track(message, run);
    },
    resume(message, channel) {
      const run = runs.get(message.requestId);
      if (run === undefined || run.account !== message.account) return false;
      if (run.attempt !== message.attempt) return false;
      run.channel = channel;
      if (run.reply === undefined) channel.acquire();
      else channel.send(run.reply);
      return true;
    },
    cancel(name) {
      const run = runs.get(name.requestId);
      if (run?.attempt === name.attempt) run.abort.abort();
    },
  };
}
