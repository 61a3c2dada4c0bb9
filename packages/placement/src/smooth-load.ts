/**
 * Exponential moving average of the token counts of experts. A single window is noisy, and a
 * planner that followed an alternating load would move experts back and forth without a gain.
 * `smoothing` is the weight of the new window, from 0 to 1.
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
