/**
 * Runs drafts on the model engine: admission, generation into a buffer, and sending to
 * whichever entry reads. The buffer outlives its reader, so that an answer whose entry died
 * can be taken up by another one from any offset.
 */
import { BackendObservationKind } from '@lapisbridge/admission';
import { AnswerStatus, createAnswerBuffer } from '@lapisbridge/answers';
import type { Limits } from '@lapisbridge/config';
import type { Logger } from '@lapisbridge/logger';
import type { LoadReport } from '@lapisbridge/types';
import { MessageKind } from '@lapisbridge/wire';
import type { AttemptId, Channel, Credit, Detach, DraftStart, Resume } from '@lapisbridge/wire';

import { attachReader, detachReader, pump } from './draft-run.js';
import type { Run } from './draft-run.js';
import { EngineOutcomeKind } from './engine-client.js';
import type { EngineClient, EngineOutcome } from './engine-client.js';
import { EntranceKind } from './gate.js';
import type { Gate } from './gate.js';

export interface DraftRunnerOptions {
  readonly gate: Gate;
  readonly engine: EngineClient;
  readonly logger: Logger;
  limits(): Limits;
  weightOf(account: string): number;
  running(): number;
  noteUnreachable(): void;
  /** The backend server has asked for a backoff, in the words of its answer. */
  noteBackoff(retryAfter: string): void;
  readonly load: () => LoadReport;
}

export interface DraftRunner {
  /** True while an answer is generated or not yet wholly sent to its reader. */
  isBusy(): boolean;
  start(message: DraftStart, channel: Channel): void;
  resume(message: Resume, channel: Channel): boolean;
  credit(message: Credit): void;
  cancel(name: AttemptId): void;
  detach(message: Detach, channel: Channel): void;
  channelClosed(channel: Channel): void;
}

export function createDraftRunner(options: DraftRunnerOptions): DraftRunner {
  const { gate, engine, logger } = options;
  const runs = new Map<string, Run>();
  let active = 0;

  function createRun(message: DraftStart, channel: Channel): Run {
    const run: Run = {
      start: message,
      buffer: createAnswerBuffer(message.account, message.deliveredText),
      abort: new AbortController(),
      owner: message.entryId,
      reader: undefined,
      tokenEnds: [],
      failure: undefined,
      orphanTimer: undefined,
    };
    attachReader(run, {
      channel,
      attempt: message.attempt,
      offset: message.deliveredText.length,
      passedTokens: 0,
      credit: message.credit,
    });
    return run;
  }

  async function generate(run: Run): Promise<EngineOutcome> {
    let lastTextAt: number | undefined;
    return engine.stream({
      body: JSON.parse(Buffer.from(run.start.body).toString('utf8')) as Record<string, unknown>,
      deliveredText: run.start.deliveredText,
      deliveredTokens: run.start.deliveredTokens,
      priority: run.start.priority,
      silenceMilliseconds: options.limits().engineSilenceMilliseconds,
      signal: run.abort.signal,
      onText(text) {
        const now = performance.now();
        if (lastTextAt !== undefined) {
          const milliseconds = now - lastTextAt;
          gate.observe({
            kind: BackendObservationKind.Step,
            milliseconds,
            running: options.running(),
          });
        }
        lastTextAt = now;
        run.buffer.append(text);
        run.tokenEnds.push(run.buffer.length);
        pump(run, options.load);
      },
    });
  }

  function noteNotStarted(retryAfter: string | undefined): void {
    options.noteUnreachable();
    if (retryAfter !== undefined) options.noteBackoff(retryAfter);
  }

  function conclude(run: Run, outcome: EngineOutcome): void {
    if (outcome.kind === EngineOutcomeKind.Complete) {
      run.buffer.complete({
        finishReason: outcome.finishReason,
        completionTokens: run.start.deliveredTokens + run.tokenEnds.length,
      });
    } else {
      run.failure = outcome;
      run.buffer.fail();
      const ownDoing = run.abort.signal.aborted || outcome.kind === EngineOutcomeKind.Rejected;
      if (!ownDoing) gate.observe({ kind: BackendObservationKind.Lost });
      if (outcome.kind === EngineOutcomeKind.NotStarted) noteNotStarted(outcome.retryAfter);
      logger.warn('draft not completed', {
        requestId: run.start.requestId,
        attempt: run.start.attempt,
        outcome: outcome.kind,
        reason: outcome.reason,
      });
    }
    pump(run, options.load);
    forgetLater(run);
  }

  function forgetLater(run: Run): void {
    const { requestId } = run.start;
    setTimeout(() => {
      if (runs.get(requestId) === run) runs.delete(requestId);
    }, options.limits().answerRetentionMilliseconds).unref();
  }

  /** Nobody reads any more. Without a time limit the engine would go on working for nobody. */
  function orphan(run: Run): void {
    detachReader(run);
    if (run.buffer.status !== AnswerStatus.Open) return;
    clearTimeout(run.orphanTimer);
    run.orphanTimer = setTimeout(() => run.abort.abort(), options.limits().orphanMilliseconds);
  }

  async function execute(run: Run): Promise<void> {
    const { start } = run;
    const entrance = await gate.enter(
      {
        requestId: start.requestId,
        account: start.account,
        weight: options.weightOf(start.account),
        tokens: start.estimatedTokens,
        remainingMilliseconds: start.remainingMilliseconds,
      },
      run.abort.signal,
    );
    if (entrance.kind === EntranceKind.Refused) {
      runs.delete(start.requestId);
      const { code, reason, retryAfterMilliseconds } = entrance.refusal;
      logger.decision({
        kind: 'admission',
        subject: start.requestId,
        choice: 'refused',
        reason,
        code,
      });
      run.reader?.channel.send({
        kind: MessageKind.Refused,
        requestId: start.requestId,
        attempt: start.attempt,
        code,
        reason,
        retryAfterMilliseconds,
        load: options.load(),
      });
      detachReader(run);
      return;
    }
    const deadline = setTimeout(() => run.abort.abort(), start.remainingMilliseconds);
    try {
      const outcome = await generate(run);
      // Released first, so that the load on the last message counts the slot as free.
      entrance.release();
      conclude(run, outcome);
    } finally {
      clearTimeout(deadline);
      clearTimeout(run.orphanTimer);
      entrance.release();
    }
  }

  async function track(run: Run): Promise<void> {
    active += 1;
    try {
      await execute(run);
    } catch (thrown) {
      // A fault in one run must not take the process, and with it every other answer, along.
      logger.error('draft run failed', { requestId: run.start.requestId, reason: String(thrown) });
      conclude(run, { kind: EngineOutcomeKind.Broken, reason: 'internal error' });
    } finally {
      active -= 1;
    }
  }

  return {
    isBusy() {
      if (active > 0) return true;
      for (const run of runs.values()) {
        if (run.reader !== undefined && !run.reader.channel.closed) return true;
      }
      return false;
    },
    start(message, channel) {
      const before = runs.get(message.requestId);
      if (before !== undefined) {
        const sameEntry = before.owner === message.entryId;
        if (sameEntry && before.start.attempt >= message.attempt) return;
        before.abort.abort();
        detachReader(before);
      }
      const run = createRun(message, channel);
      runs.set(message.requestId, run);
      void track(run);
    },
    resume(message, channel) {
      const run = runs.get(message.requestId);
      if (run === undefined || run.buffer.account !== message.account) return false;
      if (message.offset > run.buffer.length) return false;
      // An entry that was frozen while its caller went on through another one would take the
      // answer away from the new reader; only the caller's own return changes the owner.
      if (!message.takeOver && run.owner !== message.entryId) return false;
      run.owner = message.entryId;
      clearTimeout(run.orphanTimer);
      attachReader(run, {
        channel,
        attempt: message.attempt,
        offset: message.offset,
        passedTokens: 0,
        credit: message.credit,
      });
      pump(run, options.load);
      return true;
    },
    credit(message) {
      const run = runs.get(message.requestId);
      if (run?.reader === undefined || run.reader.attempt !== message.attempt) return;
      run.reader.credit += message.characters;
      pump(run, options.load);
    },
    cancel(name) {
      const run = runs.get(name.requestId);
      if (run === undefined || (run.reader?.attempt ?? run.start.attempt) > name.attempt) return;
      run.abort.abort();
      detachReader(run);
      runs.delete(name.requestId);
    },
    detach(message, channel) {
      const run = runs.get(message.requestId);
      if (run?.reader?.channel === channel) orphan(run);
    },
    channelClosed(channel) {
      for (const run of runs.values()) {
        if (run.reader?.channel === channel) orphan(run);
      }
    },
  };
}
