/**
 * One attempt at one draft on one sidecar: passes its text on by offset and ends with one
 * outcome.
 */
import { AppendKind, planAppend } from '@lapisbridge/answers';
import type { ResultCode } from '@lapisbridge/errors';
import type { Ran } from '@lapisbridge/types';
import { MessageKind } from '@lapisbridge/wire';
import type { AttemptName, Chunk, DraftStart, Message, Resume } from '@lapisbridge/wire';

import type { AnswerSink } from './answer-sink.js';
import type { BackendPool } from './backend-pool.js';
import type { Deadline } from './deadline.js';

/** What the caller has got so far, over all attempts. */
export interface Progress {
  /** Kept to go on from on another backend server; empty after a resumption. */
  text: string;
  offset: number;
  tokens: number;
  /** False when this entry took over and so does not hold the text before `offset`. */
  wholeText: boolean;
}

export enum AttemptOutcomeKind {
  Complete = 'complete',
  Refused = 'refused',
  Failed = 'failed',
  /** The connection broke or a piece is missing; the sidecar may still hold the answer. */
  Lost = 'lost',
  TimedOut = 'timedOut',
  CallerGone = 'callerGone',
}

export type AttemptOutcome =
  | {
      readonly kind: AttemptOutcomeKind.Complete;
      readonly finishReason: string;
      readonly completionTokens: number;
    }
  | {
      readonly kind: AttemptOutcomeKind.Refused;
      readonly code: ResultCode;
      readonly reason: string;
      readonly retryAfterMilliseconds: number;
    }
  | {
      readonly kind: AttemptOutcomeKind.Failed;
      readonly code: ResultCode;
      readonly reason: string;
      readonly ran: Ran;
    }
  | { readonly kind: AttemptOutcomeKind.Lost }
  | { readonly kind: AttemptOutcomeKind.TimedOut }
  | { readonly kind: AttemptOutcomeKind.CallerGone };

export interface AttemptInput {
  readonly pool: BackendPool;
  readonly instanceId: string;
  readonly message: DraftStart | Resume;
  readonly progress: Progress;
  readonly sink: AnswerSink;
  readonly deadline: Deadline;
  readonly callerGone: AbortSignal;
  /** Called at the first text of the whole answer. */
  onText(): void;
}

/** Characters a sidecar may send ahead of what the caller has taken. */
export const INITIAL_CREDIT = 32_768;
const CREDIT_STEP = 8192;

export function runDraftAttempt(input: AttemptInput): Promise<AttemptOutcome> {
  const { pool, instanceId, message, progress, sink, deadline, callerGone } = input;
  const name: AttemptName = { requestId: message.requestId, attempt: message.attempt };

  return new Promise((resolve) => {
    let owedCredit = 0;
    let paused = false;
    let ended = false;

    function end(outcome: AttemptOutcome): void {
      if (ended) return;
      ended = true;
      clearTimeout(timer);
      callerGone.removeEventListener('abort', onGone);
      pool.unlisten(instanceId, name);
      resolve(outcome);
    }

    function grantCredit(): void {
      if (paused || ended || owedCredit < CREDIT_STEP) return;
      pool.send(instanceId, { kind: MessageKind.Credit, ...name, characters: owedCredit });
      owedCredit = 0;
    }

    function pass(text: string, tokens: number): void {
      const flowing = sink.write(text, progress.offset, instanceId);
      if (progress.wholeText) progress.text += text;
      progress.offset += text.length;
      progress.tokens = tokens;
      input.onText();
      owedCredit += text.length;
      if (!flowing && !paused) {
        paused = true;
        sink.onDrain(() => {
          paused = false;
          grantCredit();
        });
      }
      grantCredit();
    }

    function onChunk(chunk: Chunk): void {
      const append = planAppend(progress.offset, chunk.offset, chunk.text);
      switch (append.kind) {
        case AppendKind.Append:
          pass(append.text, chunk.tokens);
          break;
        case AppendKind.Duplicate:
          break;
        case AppendKind.Gap:
          end({ kind: AttemptOutcomeKind.Lost });
          break;
        default: {
          const unreachable: never = append;
          throw new Error(String(unreachable));
        }
      }
    }

    function onMessage(received: Message): void {
      switch (received.kind) {
        case MessageKind.Chunk:
          onChunk(received);
          break;
        case MessageKind.End:
          // An end whose total differs from what was passed on would make a gap look whole.
          if (received.totalCharacters !== progress.offset) {
            end({ kind: AttemptOutcomeKind.Lost });
            return;
          }
          end({
            kind: AttemptOutcomeKind.Complete,
            finishReason: received.finishReason,
            completionTokens: received.completionTokens,
          });
          break;
        case MessageKind.Refused:
          end({ ...received, kind: AttemptOutcomeKind.Refused });
          break;
        case MessageKind.Failed:
          end({ ...received, kind: AttemptOutcomeKind.Failed });
          break;
        default:
          break;
      }
    }

    const onGone = (): void => end({ kind: AttemptOutcomeKind.CallerGone });
    const timer = setTimeout(
      () => end({ kind: AttemptOutcomeKind.TimedOut }),
      deadline.remaining(),
    );
    callerGone.addEventListener('abort', onGone);
    const onLost = (): void => end({ kind: AttemptOutcomeKind.Lost });
    const listening = pool.listen(instanceId, name, { onMessage, onLost });
    if (callerGone.aborted) onGone();
    else if (!listening || !pool.send(instanceId, message)) onLost();
  });
}
