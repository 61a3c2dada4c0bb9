/**
 * Smoothed token counts of the experts. A single window is noisy, and a load that alternates
 * would have a planner that believes it move experts back and forth for nothing.
 */
export function smoothTokens(
  before: readonly number[] | undefined,
  window: readonly number[],
  smoothing: number,
): number[] {
  if (before === undefined) return [...window];
  return window.map((tokens, expert) => {
    const known = before[expert] ?? 0;
    return known + (tokens - known) * smoothing;
  });
}
