/**
 * Holds the text of one answer while it is generated and for a while afterwards, so that
 * whoever lost its connection can take the rest from any offset without a second generation.
 */
export enum AnswerStatus {
  Open = 'open',
  Complete = 'complete',
  Failed = 'failed',
}

export interface AnswerEnding {
  readonly finishReason: string;
  readonly completionTokens: number;
}

export interface AnswerBuffer {
  readonly account: string;
  readonly status: AnswerStatus;
  /** Characters held, counted from the start of the whole answer. */
  readonly length: number;
  readonly ending: AnswerEnding | undefined;
  append(text: string): void;
  complete(ending: AnswerEnding): void;
  fail(): void;
  /** At most `maximum` characters from an offset; empty at the end. */
  read(offset: number, maximum: number): string;
}

/** `deliveredText` is what earlier attempts produced; offsets go on from there. */
export function createAnswerBuffer(account: string, deliveredText = ''): AnswerBuffer {
  let pieces: string[] = [];
  let joined = deliveredText;
  let { length } = deliveredText;
  let status = AnswerStatus.Open;
  let ending: AnswerEnding | undefined;

  function whole(): string {
    if (pieces.length > 0) {
      joined += pieces.join('');
      pieces = [];
    }
    return joined;
  }

  return {
    account,
    get status() {
      return status;
    },
    get length() {
      return length;
    },
    get ending() {
      return ending;
    },
    append(text) {
      pieces.push(text);
      length += text.length;
    },
    complete(given) {
      status = AnswerStatus.Complete;
      ending = given;
    },
    fail() {
      status = AnswerStatus.Failed;
    },
    read(offset, maximum) {
      // The usual reader stands at the end and wants just the last piece.
      const last = pieces.at(-1);
      if (last !== undefined && offset === length - last.length && last.length <= maximum) {
        return last;
      }
      return whole().slice(offset, offset + maximum);
    },
  };
}
