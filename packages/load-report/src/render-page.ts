/**
 * Renders a report as one HTML page without anything to load.
 */
import { drawSeconds } from './draw-seconds.js';
import { escapeMarkup } from './escape-markup.js';
import type { Report } from './report.js';
import { describeSource, listSections } from './report-sections.js';
import type { Section } from './report-sections.js';

const STYLE = [
  'body{font:14px sans-serif;margin:2em;max-width:1100px}',
  'table{border-collapse:collapse;margin-bottom:1em}',
  'td,th{border:1px solid #ccc;padding:2px 6px;text-align:left}',
].join('');

function renderRow(tag: 'td' | 'th', cells: readonly string[]): string {
  const inner = cells.map((cell) => `<${tag}>${escapeMarkup(cell)}</${tag}>`);
  return `<tr>${inner.join('')}</tr>`;
}

function renderSection({ heading, headings, rows }: Section): string {
  const title = `<h2>${escapeMarkup(heading)}</h2>`;
  if (rows.length === 0) return `${title}<p>None.</p>`;
  const body = rows.map((cells) => renderRow('td', cells)).join('\n');
  return `${title}<table>${renderRow('th', headings)}\n${body}</table>`;
}

export function renderPage(report: Report): string {
  return [
    '<!doctype html><meta charset="utf-8"><title>What callers got</title>',
    `<style>${STYLE}</style>`,
    `<h1>What callers got</h1><p>${escapeMarkup(describeSource(report))}</p>`,
    drawSeconds(report),
    ...listSections(report).map(renderSection),
    '',
  ].join('\n');
}
