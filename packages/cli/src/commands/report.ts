/**
 * `lapisbridge report --logs FILE…`
 */
import { mkdirSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';

import { LapisError, ResultCode } from '@lapisbridge/errors';
import { createReportTally, renderMarkdown, renderPage } from '@lapisbridge/load-report';
import type { Report } from '@lapisbridge/load-report';
import { Command, Option } from 'clipanion';

import { OperatorCommand } from '../operator-command.js';
import { streamLogs } from '../stream-logs.js';

const BYTES_PER_MEGABYTE = 1024 * 1024;

/** Milliseconds since 1970; undefined where the option is not given. */
function parseTime(option: string, value: string | undefined): number | undefined {
  if (value === undefined) return undefined;
  const at = Date.parse(value);
  if (!Number.isNaN(at)) return at;
  throw new LapisError(
    ResultCode.BadRequest,
    `${option}: ${value} is no time; write one as in the logs, such as 2026-05-04T08:05:13.053Z`,
  );
}

/** Writes a report in its three forms. */
function writeReport(folder: string, report: Report): void {
  try {
    mkdirSync(folder, { recursive: true });
    writeFileSync(join(folder, 'report.md'), renderMarkdown(report));
    writeFileSync(join(folder, 'report.json'), `${JSON.stringify(report, null, 2)}\n`);
    writeFileSync(join(folder, 'report.html'), renderPage(report));
  } catch (thrown) {
    throw new LapisError(ResultCode.BadRequest, `--out ${folder}: ${String(thrown)}`);
  }
}

export class ReportCommand extends OperatorCommand {
  static override paths = [['report']];

  static override usage = Command.Usage({
    description: 'Counts from log files what callers got, when, where and why.',
    examples: [
      ['As Markdown', '$0 report --logs entry-1.log sidecar-1.log'],
      ['With plots', '$0 report --out evening --from 2026-05-04T18:00:00Z --logs *.log'],
    ],
  });

  logs = Option.Boolean('--logs', true, { description: 'Log files follow.' });

  from = Option.String('--from', { description: 'Leave out lines before this time.' });

  to = Option.String('--to', { description: 'Leave out lines after this time.' });

  out = Option.String('--out', {
    description: 'Write report.md, report.json and report.html into this folder.',
  });

  files = Option.Rest({ name: 'FILE' });

  protected async carryOut(): Promise<Report> {
    const from = parseTime('--from', this.from);
    const to = parseTime('--to', this.to);
    if (from !== undefined && to !== undefined && from > to) {
      throw new LapisError(ResultCode.BadRequest, '--from is later than --to');
    }
    const tally = createReportTally({
      ...(from === undefined ? {} : { from }),
      ...(to === undefined ? {} : { to }),
    });
    await streamLogs(this.files, {
      onLine: (line) => tally.add(line),
      onSkipped: () => tally.skip(),
      onProgress: (readBytes, totalBytes) => this.tellProgress(readBytes, totalBytes),
    });
    const report = tally.finish();
    if (this.out !== undefined) writeReport(this.out, report);
    return report;
  }

  protected print(report: Report): void {
    if (this.out === undefined) this.line(renderMarkdown(report));
    else this.line(`report.md, report.json and report.html written to ${this.out}`);
  }

  private tellProgress(readBytes: number, totalBytes: number): void {
    const read = Math.round(readBytes / BYTES_PER_MEGABYTE);
    const total = Math.round(totalBytes / BYTES_PER_MEGABYTE);
    this.context.stderr.write(`read ${read} of ${total} MB\n`);
  }
}
