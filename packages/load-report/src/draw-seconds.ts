/**
 * Draws a report by time as SVG: how requests ended, how full the chosen servers were, and what was
 * lost meanwhile.
 */
import { escapeMarkup } from './escape-markup.js';
import type { OutageReport, Report, SecondReport } from './report.js';
import { EndClass } from './request-counts.js';

const WIDTH = 1000;
const LEFT = 50;
const BARS_HEIGHT = 220;
const LOAD_HEIGHT = 100;
const LANE_HEIGHT = 16;
const GAP = 40;

const COLOURS: readonly (readonly [EndClass, string, string])[] = [
  [EndClass.InTime, '#3b8a4a', 'in time'],
  [EndClass.Late, '#e0a82e', 'late'],
  [EndClass.Refused, '#b9c4d6', 'told to come back'],
  [EndClass.RefusedAgain, '#b8442b', 'refused again'],
  [EndClass.Failed, '#6b1f14', 'failed'],
  [EndClass.Gone, '#8a8a8a', 'gone'],
];

interface Axis {
  readonly begin: number;
  readonly end: number;
  toX(at: number): number;
}

function axisOf({ seconds, secondsPerBin }: Report): Axis {
  const begin = Date.parse(seconds[0]?.from ?? new Date(0).toISOString());
  const last = Date.parse(seconds.at(-1)?.from ?? new Date(0).toISOString());
  const end = last + secondsPerBin * 1000;
  const scale = (WIDTH - LEFT) / Math.max(1, end - begin);
  return { begin, end, toX: (at) => LEFT + (at - begin) * scale };
}

function text(x: number, y: number, content: string, anchor = 'start'): string {
  const place = `x="${x.toFixed(1)}" y="${y.toFixed(1)}" text-anchor="${anchor}"`;
  return `<text ${place}>${escapeMarkup(content)}</text>`;
}

function rectangle(
  x: number,
  y: number,
  width: number,
  height: number,
  colour: string,
  title: string,
): string {
  const place = `x="${x.toFixed(1)}" y="${y.toFixed(1)}"`;
  const size = `width="${Math.max(0.5, width).toFixed(1)}" height="${height.toFixed(1)}"`;
  return `<rect ${place} ${size} fill="${colour}"><title>${escapeMarkup(title)}</title></rect>`;
}

function drawBars(report: Report, axis: Axis): string[] {
  const sums = report.seconds.map(({ counts }) =>
    COLOURS.reduce((sum, [end]) => sum + counts[end], 0),
  );
  const most = Math.max(1, ...sums);
  const width = axis.toX(axis.begin + report.secondsPerBin * 1000) - LEFT;
  const parts = [text(LEFT - 6, 12, String(most), 'end'), text(LEFT - 6, BARS_HEIGHT, '0', 'end')];
  for (const { from, counts } of report.seconds) {
    let y = BARS_HEIGHT;
    for (const [end, colour, name] of COLOURS) {
      const height = (counts[end] / most) * BARS_HEIGHT;
      if (height === 0) continue;
      y -= height;
      const title = `${from}: ${counts[end]} ${name}`;
      parts.push(rectangle(axis.toX(Date.parse(from)), y, width, height, colour, title));
    }
  }
  return parts;
}

function drawLine(
  seconds: readonly SecondReport[],
  axis: Axis,
  colour: string,
  top: number,
  most: number,
  pick: (second: SecondReport) => number,
): string {
  const points = seconds.map((second) => {
    const y = top + LOAD_HEIGHT - (pick(second) / most) * LOAD_HEIGHT;
    return `${axis.toX(Date.parse(second.from)).toFixed(1)},${y.toFixed(1)}`;
  });
  return `<polyline points="${points.join(' ')}" fill="none" stroke="${colour}"/>`;
}

function drawLoads({ seconds }: Report, axis: Axis, top: number): string[] {
  const most = Math.max(1, ...seconds.map(({ mostOutstanding }) => mostOutstanding));
  return [
    text(LEFT, top - 6, 'requests in hand at the chosen server: mean, and most (pale)'),
    text(LEFT - 6, top + 10, String(most), 'end'),
    drawLine(seconds, axis, '#9db7d6', top, most, ({ mostOutstanding }) => mostOutstanding),
    drawLine(seconds, axis, '#1f5fa8', top, most, ({ meanOutstanding }) => meanOutstanding),
  ];
}

function drawOutage(outage: OutageReport, axis: Axis, y: number): string[] {
  const begin = Math.max(axis.begin, Date.parse(outage.from));
  const end =
    outage.milliseconds === undefined
      ? axis.end
      : Math.min(axis.end, Date.parse(outage.from) + outage.milliseconds);
  const x = axis.toX(begin);
  const title = `${outage.matter}, ${outage.from}: ${outage.cause}`;
  const bar = rectangle(
    x,
    y,
    axis.toX(Math.max(begin, end)) - x,
    LANE_HEIGHT - 4,
    '#b8442b',
    title,
  );
  return [bar, text(x + 4, y + 10, outage.matter)];
}

/** An SVG element; empty text when the report holds no time. */
export function drawSeconds(report: Report): string {
  if (report.seconds.length === 0) return '';
  const axis = axisOf(report);
  const loadTop = BARS_HEIGHT + GAP + GAP / 2;
  const laneTop = loadTop + LOAD_HEIGHT + GAP;
  const height = laneTop + report.outages.length * LANE_HEIGHT + GAP;
  const legend = COLOURS.map(([, colour, name], index) => {
    const x = LEFT + index * 140;
    return `${rectangle(x, BARS_HEIGHT + 8, 10, 10, colour, name)}${text(x + 14, BARS_HEIGHT + 17, name)}`;
  });
  const lanes = report.outages.flatMap((outage, index) =>
    drawOutage(outage, axis, laneTop + index * LANE_HEIGHT),
  );
  const size = `width="${WIDTH}" height="${height}" viewBox="0 0 ${WIDTH} ${height}"`;
  return [
    `<svg xmlns="http://www.w3.org/2000/svg" ${size} font-family="sans-serif" font-size="11">`,
    ...drawBars(report, axis),
    ...legend,
    ...drawLoads(report, axis, loadTop),
    text(LEFT, laneTop - 6, `lost and regained, ${report.from} to ${report.to}`),
    ...lanes,
    '</svg>',
  ].join('\n');
}
