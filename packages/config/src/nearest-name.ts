/**
 * Finds the known name nearest to a misspelt one, by edit distance.
 */
const MAXIMUM_DISTANCE = 4;

function editDistance(left: string, right: string): number {
  let previous = Array.from({ length: right.length + 1 }, (_, index) => index);
  for (let row = 1; row <= left.length; row += 1) {
    const current = [row];
    for (let column = 1; column <= right.length; column += 1) {
      const substitution = left[row - 1] === right[column - 1] ? 0 : 1;
      current.push(
        Math.min(
          (previous[column] ?? 0) + 1,
          (current[column - 1] ?? 0) + 1,
          (previous[column - 1] ?? 0) + substitution,
        ),
      );
    }
    previous = current;
  }
  return previous[right.length] ?? 0;
}

export function nearestName(wanted: string, known: readonly string[]): string | undefined {
  let best: string | undefined;
  let bestDistance = MAXIMUM_DISTANCE + 1;
  for (const candidate of known) {
    const distance = editDistance(wanted.toLowerCase(), candidate.toLowerCase());
    if (distance < bestDistance) {
      best = candidate;
      bestDistance = distance;
    }
  }
  return best;
}
