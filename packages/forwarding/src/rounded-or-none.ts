/**
 * Rounds a value for a log line; undefined if there is none.
 */
export function roundedOrNone(value: number | undefined): number | undefined {
  return value === undefined ? undefined : Math.round(value);
}
