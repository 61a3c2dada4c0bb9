/**
 * Decimal numbers in headers. What else a program takes for a number (hexadecimal digits, an empty
 * text, a sign) is none there.
 */
const DECIMAL = /^(\d+\.?\d*|\.\d+)$/;
const MILLISECONDS_PER_SECOND = 1000;

/** Longer times are cut to this: a server that asks for ever is tried again. */
export const LONGEST_BACKOFF_MILLISECONDS = 300_000;

/** Undefined where the text is no decimal number; infinite where the number is too large. */
export function parseDecimal(text: string): number | undefined {
  return DECIMAL.test(text.trim()) ? Number(text) : undefined;
}

/** Milliseconds of a `Retry-After` in seconds; undefined where it is no number. Dates are none. */
export function parseRetryAfter(text: string): number | undefined {
  const seconds = parseDecimal(text);
  if (seconds === undefined) return undefined;
  return Math.min(seconds * MILLISECONDS_PER_SECOND, LONGEST_BACKOFF_MILLISECONDS);
}
