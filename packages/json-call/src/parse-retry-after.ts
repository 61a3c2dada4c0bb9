/**
 * How long a server wants no further request, as it stands in `Retry-After`.
 */
import { parseDecimal } from './parse-decimal.js';

const MILLISECONDS_PER_SECOND = 1000;
/** Longer times are cut to this: a server that asks for ever is tried again. */
const LONGEST_MILLISECONDS = 300_000;

/** Milliseconds; undefined where the text is no number of seconds. Dates are none. */
export function parseRetryAfter(text: string): number | undefined {
  const seconds = parseDecimal(text);
  if (seconds === undefined) return undefined;
  return Math.min(seconds * MILLISECONDS_PER_SECOND, LONGEST_MILLISECONDS);
}
