/**
 * One run of a draft at a sidecar, and the sending of its text to whichever entry reads it, as
 * far as that reader's credit reaches.
 */
import { AnswerStatus } from '@lapisbridge/answers';
import type { AnswerBuffer } from '@lapisbridge/answers';
import { ResultCode } from '@lapisbridge/errors';
import { Ran } from '@lapisbridge/types';
import type { LoadReport } from '@lapisbridge/types';
import { MessageKind } from '@lapisbridge/wire';
import type { AttemptId, Channel, DraftStart } from '@lapisbridge/wire';

import { EngineOutcomeKind } from './engine-client.js';
import type { EngineOutcome } from './engine-client.js';

/** Where the text of a run goes: one channel at a time, as far as its credit reaches. */
export interface Reader {
  readonly channel: Channel;
  readonly attempt: number;
  offset: number;
  /** Tokens of this run that end at or before the offset. */
  passedTokens: number;
  credit: number;
}

export interface Run {
  readonly start: DraftStart;
  readonly buffer: AnswerBuffer;
  readonly abort: AbortController;
  /** The entry that may resume without the caller's coming back. */
  owner: string;
  reader: Reader | undefined;
  /** Where each token of this run ends, in characters of the whole answer. */
  readonly tokenEnds: number[];
  failure: EngineOutcome | undefined;
  orphanTimer: NodeJS.Timeout | undefined;
}

/**
 * Tokens that the reader has once it stands at an offset. Counting those that are merely
 * generated would let a slow reader's answer end too early when it goes on elsewhere.
 */
function passTokens(run: Run, reader: Reader, offset: number): number {
  while ((run.tokenEnds[reader.passedTokens] ?? Infinity) <= offset) reader.passedTokens += 1;
  return run.start.deliveredTokens + reader.passedTokens;
}

/** `load` rides on the last message, so that the entry knows of the free slot at once. */
export function pump(run: Run, load: () => LoadReport): void {
  const { reader, buffer } = run;
  if (reader === undefined || reader.channel.closed) return;
  const name = { requestId: run.start.requestId, attempt: reader.attempt };
  while (reader.offset < buffer.length && reader.credit > 0) {
    const text = buffer.read(reader.offset, reader.credit);
    reader.channel.send({
      kind: MessageKind.Chunk,
      ...name,
      offset: reader.offset,
      text,
      tokens: passTokens(run, reader, reader.offset + text.length),
    });
    reader.offset += text.length;
    reader.credit -= text.length;
  }
  if (reader.offset === buffer.length) sendEnding(run, reader, name, load);
}

function sendEnding(run: Run, reader: Reader, name: AttemptId, load: () => LoadReport): void {
  const { buffer, failure } = run;
  switch (buffer.status) {
    case AnswerStatus.Open:
      return;
    case AnswerStatus.Complete:
      reader.channel.send({
        kind: MessageKind.End,
        ...name,
        totalCharacters: buffer.length,
        finishReason: buffer.ending?.finishReason ?? 'stop',
        completionTokens: buffer.ending?.completionTokens ?? 0,
        load: load(),
      });
      break;
    case AnswerStatus.Failed:
      reader.channel.send({
        kind: MessageKind.Failed,
        ...name,
        code:
          failure?.kind === EngineOutcomeKind.Rejected
            ? ResultCode.BadRequest
            : ResultCode.EngineFailed,
        reason: failure !== undefined && 'reason' in failure ? failure.reason : 'engine failed',
        ran: failure?.kind === EngineOutcomeKind.NotStarted ? Ran.No : Ran.Unknown,
        retryAfterMilliseconds: 0,
        load: load(),
      });
      break;
    default: {
      const unreachable: never = buffer.status;
      throw new Error(`unknown status ${String(unreachable)}`);
    }
  }
  detachReader(run);
}

/** While somebody reads, the channel beats fast on both sides. */
export function attachReader(run: Run, reader: Reader): void {
  detachReader(run);
  run.reader = reader;
  reader.channel.acquire();
}

export function detachReader(run: Run): void {
  run.reader?.channel.release();
  run.reader = undefined;
}
