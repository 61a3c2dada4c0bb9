/**
 * Smoothed token counts of the experts. A single window is noisy, and a load that alternates
 * would have a planner that believes it move experts back and forth for nothing.
 */
export function smoothTokens(
  previous: readonly number[] | undefined,
  window: readonly number[],
  smoothing: number,
): number[] {
  if (previous === undefined) return [...window];
  return window.map((tokens, expert) => {
    const previousTokens = previous[expert] ?? 0;
    return previousTokens + (tokens - previousTokens) * smoothing;
  });
}
