/**
 * Renders a report as Markdown.
 */
import type { Report } from './report.js';
import { describeSource, listSections } from './report-sections.js';
import type { Section } from './report-sections.js';

function escapeCell(cell: string): string {
  return cell.replaceAll('|', '\\|').replaceAll('\n', ' ');
}

function row(cells: readonly string[]): string {
  return `| ${cells.map(escapeCell).join(' | ')} |`;
}

function renderSection({ heading, headings, rows }: Section): string {
  if (rows.length === 0) return `## ${heading}\n\nNone.\n`;
  const rule = row(headings.map(() => '---'));
  return `## ${heading}\n\n${[row(headings), rule, ...rows.map(row)].join('\n')}\n`;
}

export function renderMarkdown(report: Report): string {
  const head = `# What callers got\n\n${describeSource(report)}\n`;
  return [head, ...listSections(report).map(renderSection)].join('\n');
}
