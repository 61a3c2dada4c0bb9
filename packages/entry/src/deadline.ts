/**
 * The time a caller gives to a request: a header within the document's limits.
 */
import type { Limits } from '@lapisbridge/config';
import { LapisError, ResultCode } from '@lapisbridge/errors';

export interface Deadline {
  /** Milliseconds left; never below zero. */
  remaining(): number;
}

export function createDeadline(milliseconds: number): Deadline {
  const end = performance.now() + milliseconds;
  return { remaining: () => Math.max(0, Math.floor(end - performance.now())) };
}

export function parseTimeout(header: string | undefined, limits: Limits): number {
  if (header === undefined) return limits.defaultTimeoutMilliseconds;
  const milliseconds = Number(header);
  const valid =
    Number.isInteger(milliseconds) &&
    milliseconds > 0 &&
    milliseconds <= limits.maximumTimeoutMilliseconds;
  if (valid) return milliseconds;
  throw new LapisError(
    ResultCode.InvalidTimeout,
    `Lapisbridge-Timeout-Ms must be a whole number from 1 to ${limits.maximumTimeoutMilliseconds}`,
  );
}
