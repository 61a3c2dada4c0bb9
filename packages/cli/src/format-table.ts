/**
 * Formats rows as an aligned table for a terminal.
 */
export function formatTable(
  headings: readonly string[],
  rows: readonly (readonly string[])[],
): string {
  const widths = headings.map((heading) => heading.length);
  for (const row of rows) {
    for (const [index, cell] of row.entries()) {
      widths[index] = Math.max(widths[index] ?? 0, cell.length);
    }
  }
  const format = (row: readonly string[]): string =>
    row
      .map((cell, index) => cell.padEnd(widths[index] ?? 0))
      .join('  ')
      .trimEnd();
  return [headings, ...rows].map(format).join('\n');
}
