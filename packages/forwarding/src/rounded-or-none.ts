/**
 * Figures for log lines: whole numbers, or nothing.
 */
export function roundedOrNone(value: number | undefined): number | undefined {
  return value === undefined ? undefined : Math.round(value);
}
