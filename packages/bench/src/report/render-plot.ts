/**
 * Renders lines as an SVG plot.
 */
import type { Plot, Series } from './experiment.js';

const WIDTH = 720;
const HEIGHT = 420;
const MARGIN = 60;
const TICKS = 5;
const COLOURS = ['#1f5fa8', '#b8442b', '#3b8a4a', '#7a5aa6', '#b08a1e', '#4a4a4a'];

interface Range {
  readonly low: number;
  readonly high: number;
}

function rangeOf(
  series: readonly Series[],
  pick: (point: { x: number; y: number }) => number,
): Range {
  const values = series.flatMap(({ points }) => points.map(pick));
  const low = Math.min(...values);
  const high = Math.max(...values);
  return low === high ? { low: low - 1, high: high + 1 } : { low, high };
}

function escapeText(text: string): string {
  return text.replaceAll('&', '&amp;').replaceAll('<', '&lt;');
}

export function renderPlot({ title, xLabel, yLabel, series }: Plot): string {
  const xRange = rangeOf(series, ({ x }) => x);
  const yRange = rangeOf(series, ({ y }) => y);
  const toX = (x: number): number =>
    MARGIN + ((x - xRange.low) / (xRange.high - xRange.low)) * (WIDTH - 2 * MARGIN);
  const toY = (y: number): number =>
    HEIGHT - MARGIN - ((y - yRange.low) / (yRange.high - yRange.low)) * (HEIGHT - 2 * MARGIN);
  const text = (x: number, y: number, content: string, anchor = 'middle'): string =>
    `<text x="${x.toFixed(1)}" y="${y.toFixed(1)}" text-anchor="${anchor}">${escapeText(content)}</text>`;
  const parts = [
    `<svg xmlns="http://www.w3.org/2000/svg" width="${WIDTH}" height="${HEIGHT}" font-family="sans-serif" font-size="12">`,
    `<rect width="${WIDTH}" height="${HEIGHT}" fill="white"/>`,
    text(WIDTH / 2, 24, title),
    text(WIDTH / 2, HEIGHT - 14, xLabel),
    text(MARGIN, 44, yLabel, 'start'),
  ];
  for (let tick = 0; tick <= TICKS; tick += 1) {
    const x = xRange.low + ((xRange.high - xRange.low) * tick) / TICKS;
    const y = yRange.low + ((yRange.high - yRange.low) * tick) / TICKS;
    parts.push(text(toX(x), HEIGHT - MARGIN + 18, x.toPrecision(3)));
    parts.push(text(MARGIN - 6, toY(y) + 4, y.toPrecision(3), 'end'));
    parts.push(
      `<line x1="${MARGIN}" x2="${WIDTH - MARGIN}" y1="${toY(y)}" y2="${toY(y)}" stroke="#ddd"/>`,
    );
  }
  for (const [index, { name, points }] of series.entries()) {
    const colour = COLOURS[index % COLOURS.length] ?? 'black';
    const path = points.map(({ x, y }) => `${toX(x).toFixed(1)},${toY(y).toFixed(1)}`).join(' ');
    parts.push(`<polyline points="${path}" fill="none" stroke="${colour}" stroke-width="1.6"/>`);
    const legendY = 44 + index * 16;
    parts.push(
      `<rect x="${WIDTH - 210}" y="${legendY - 9}" width="10" height="10" fill="${colour}"/>`,
    );
    parts.push(text(WIDTH - 194, legendY, name, 'start'));
  }
  parts.push('</svg>');
  return `${parts.join('\n')}\n`;
}
