/**
 * One attempt at one draft on one sidecar: passes its text on by offset and ends with one
 * outcome.
 */
import { AppendKind, planAppend } from '@lapisbridge/answers';
import type { ResultCode } from '@lapisbridge/errors';
import type { Ran } from '@lapisbridge/types';
import { MessageKind } from '@lapisbridge/wire';
import type { End as AnswerEnd, Chunk, DraftStart, Resume } from '@lapisbridge/wire';

import type { AnswerSink } from './answer-sink.js';
import { runAttempt } from './run-attempt.js';
import type { AttemptInput } from './run-attempt.js';

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

export interface DraftAttemptInput extends AttemptInput {
  readonly message: DraftStart | Resume;
  readonly progress: Progress;
  readonly sink: AnswerSink;
  /** Called whenever text has been passed on. */
  onText(): void;
}

/** Characters a sidecar may send ahead of what the caller has taken. */
export const INITIAL_CREDIT = 32_768;
const CREDIT_STEP = 8192;

type End = (outcome: AttemptOutcome) => void;

/** Passes text on and gives the sidecar credit for it, as fast as the caller reads. */
function createPasser(input: DraftAttemptInput): (text: string, tokens: number) => void {
  const { pool, instanceId, message, progress, sink } = input;
  const { requestId, attempt } = message;
  let owedCredit = 0;
  let paused = false;

  function grantCredit(): void {
    if (paused || owedCredit < CREDIT_STEP) return;
    const kind = MessageKind.Credit;
    pool.send(instanceId, { kind, requestId, attempt, characters: owedCredit });
    owedCredit = 0;
  }

  return (text, tokens) => {
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
  };
}

export function runDraftAttempt(input: DraftAttemptInput): Promise<AttemptOutcome> {
  const { progress } = input;
  const pass = createPasser(input);

  function onChunk(chunk: Chunk, end: End): void {
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

  function onEnd(message: AnswerEnd, end: End): void {
    // An end whose total differs from what was passed on would make a gap look whole.
    if (message.totalCharacters !== progress.offset) {
      end({ kind: AttemptOutcomeKind.Lost });
      return;
    }
    const { finishReason, completionTokens } = message;
    end({ kind: AttemptOutcomeKind.Complete, finishReason, completionTokens });
  }

  return runAttempt<AttemptOutcome>({
    ...input,
    whenLost: { kind: AttemptOutcomeKind.Lost },
    whenTimedOut: { kind: AttemptOutcomeKind.TimedOut },
    whenCallerGone: { kind: AttemptOutcomeKind.CallerGone },
    onMessage(received, end) {
      switch (received.kind) {
        case MessageKind.Chunk:
          onChunk(received, end);
          break;
        case MessageKind.End:
          onEnd(received, end);
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
    },
  });
}
