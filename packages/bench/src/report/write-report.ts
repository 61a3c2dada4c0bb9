/**
 * Writes the result of an experiment: JSON, a Markdown page and one SVG for each plot.
 */
import { mkdirSync, writeFileSync } from 'node:fs';
import { arch, cpus, totalmem } from 'node:os';
import { join } from 'node:path';

import type { Cell, Experiment, ExperimentResult, Table } from './experiment.js';
import { renderPlot } from './render-plot.js';

const BYTES_PER_GIB = 1024 ** 3;

function formatCell(cell: Cell): string {
  if (typeof cell === 'string') return cell;
  if (Number.isInteger(cell)) return String(cell);
  return Math.abs(cell) >= 100 ? cell.toFixed(0) : cell.toPrecision(3);
}

export function renderTable({ title, columns, rows }: Table): string {
  const line = (cells: readonly string[]): string => `| ${cells.join(' | ')} |`;
  const head = [line(columns), line(columns.map(() => '---'))];
  const body = rows.map((row) => line(row.map(formatCell)));
  return [`**${title}**`, '', ...head, ...body].join('\n');
}

export function describeMachine(): string {
  const [first] = cpus();
  const memory = Math.round(totalmem() / BYTES_PER_GIB);
  return `${cpus().length} × ${first?.model ?? 'unknown'} (${arch()}), ${memory} GiB, Node.js ${process.version}`;
}

export function renderPage(experiment: Experiment, seed: number, result: ExperimentResult): string {
  const command = `npm run bench -- ${experiment.name} --seed ${seed}`;
  const parts = [
    `## ${experiment.name}`,
    '',
    experiment.description,
    '',
    `Command: \`${command}\`. Machine: ${describeMachine()}.`,
  ];
  for (const table of result.tables) parts.push('', renderTable(table));
  for (const note of result.notes) parts.push('', note);
  return `${parts.join('\n')}\n`;
}

export function writeReport(
  folder: string,
  experiment: Experiment,
  seed: number,
  result: ExperimentResult,
): void {
  mkdirSync(folder, { recursive: true });
  const machine = describeMachine();
  const json = { experiment: experiment.name, seed, machine, ...result };
  writeFileSync(join(folder, `${experiment.name}.json`), `${JSON.stringify(json, null, 2)}\n`);
  writeFileSync(join(folder, `${experiment.name}.md`), renderPage(experiment, seed, result));
  for (const [index, plot] of result.plots.entries()) {
    writeFileSync(join(folder, `${experiment.name}-${index + 1}.svg`), renderPlot(plot));
  }
}
