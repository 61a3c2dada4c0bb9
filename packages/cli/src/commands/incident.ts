/**
 * `lapisbridge incident --logs FILE…`
 */
import { drawTimeline } from '@lapisbridge/log-story';
import type { Timeline } from '@lapisbridge/log-story';
import { Command, Option } from 'clipanion';

import { formatTable } from '../format-table.js';
import { OperatorCommand } from '../operator-command.js';
import { readLogs } from '../read-logs.js';

export class IncidentCommand extends OperatorCommand {
  static override paths = [['incident']];

  static override usage = Command.Usage({
    description: 'Draws a time line of what was lost and regained, and the requests it touched.',
    examples: [['From all logs of an hour', '$0 incident --logs entry-1.log sidecar-1.log']],
  });

  logs = Option.Boolean('--logs', true, { description: 'Log files follow.' });

  files = Option.Rest({ name: 'FILE' });

  protected async carryOut(): Promise<Timeline> {
    return drawTimeline(readLogs(this.files));
  }

  protected print(timeline: Timeline): void {
    const { requests, answered, improper, refused, failed } = timeline;
    this.line(
      `${requests} requests: ${answered} answered, ${improper} improper, ` +
        `${refused} refused, ${failed} failed`,
    );
    const rows = timeline.periods.map((period) => [
      period.from,
      period.milliseconds === undefined ? 'to the end' : `${period.milliseconds} ms`,
      period.matter,
      String(period.instances.length),
      String(period.refused),
      String(period.failed),
      period.cause,
      period.examples.join(' '),
    ]);
    const headings = ['FROM', 'FOR', 'LOST', 'AT', 'REFUSED', 'FAILED', 'CAUSE', 'EXAMPLES'];
    this.line(formatTable(headings, rows));
    const { unexplained, unexplainedExamples } = timeline;
    if (unexplained > 0) {
      const examples = unexplainedExamples.join(' ');
      this.line(`${unexplained} refused or failed while nothing was lost, such as ${examples}`);
    }
  }
}
