/**
 * Errors of the system. Every failure that can reach a caller, an operator or another
 * process carries a numbered code, whether the work ran, and when to come back.
 */
import { Ran } from '@lapisbridge/types';

import { RESULT_CODES, ResultCode } from './result-code.js';

export { RESULT_CODES, ResultCode };
export type { ResultCodeEntry } from './result-code.js';

/** One thing wrong with a document or settings file. `path` is a JSON path. */
export interface Problem {
  readonly path: string;
  readonly message: string;
}

export interface LapisErrorOptions {
  readonly ran?: Ran;
  /** When to come back, in milliseconds; sent as Retry-After in whole seconds. */
  readonly retryAfterMilliseconds?: number;
  readonly problems?: readonly Problem[];
}

/** A failure with a numbered code. `message` says what happened and never holds bodies or keys. */
export class LapisError extends Error {
  readonly code: ResultCode;

  readonly ran: Ran;

  readonly retryAfterMilliseconds: number | undefined;

  readonly problems: readonly Problem[];

  constructor(code: ResultCode, message: string, options: LapisErrorOptions = {}) {
    super(message);
    this.name = ResultCode[code];
    this.code = code;
    this.ran = options.ran ?? Ran.No;
    this.retryAfterMilliseconds = options.retryAfterMilliseconds;
    this.problems = options.problems ?? [];
  }
}

/** Body of an `application/problem+json` reply. */
export interface ProblemBody {
  readonly code: ResultCode;
  readonly title: string;
  readonly detail: string;
  readonly nextStep: string;
  readonly ran: Ran;
  readonly requestId?: string;
  readonly problems?: readonly Problem[];
}

/** Shapes an error for a caller. */
export function problemBody(error: LapisError, requestId?: string): ProblemBody {
  const { title, nextStep } = RESULT_CODES[error.code];
  return {
    code: error.code,
    title,
    detail: error.message,
    nextStep,
    ran: error.ran,
    ...(requestId === undefined ? {} : { requestId }),
    ...(error.problems.length === 0 ? {} : { problems: error.problems }),
  };
}

/** Turns anything thrown into an error with a code; an unforeseen one counts as unknown. */
export function toLapisError(thrown: unknown): LapisError {
  if (thrown instanceof LapisError) return thrown;
  const message = thrown instanceof Error ? thrown.message : String(thrown);
  return new LapisError(ResultCode.OutcomeUnknown, message, { ran: Ran.Unknown });
}
