/**
 * `lapisbridge explain REQUEST_ID`, and with `--logs FILE…` from log files alone
 */
import { LapisError, ResultCode } from '@lapisbridge/errors';
import { tellStory } from '@lapisbridge/log-story';
import type { Story } from '@lapisbridge/log-story';
import { Command, Option } from 'clipanion';

import { formatTable } from '../format-table.js';
import { OperatorCommand } from '../operator-command.js';
import { readLogs } from '../read-logs.js';

interface DecisionView {
  readonly at: string;
  readonly kind: string;
  readonly choice: string;
  readonly reason: string;
  readonly candidates?: readonly {
    readonly instanceId: string;
    readonly estimatedMilliseconds: number;
    readonly occupancy: number;
  }[];
}

interface Explanation {
  readonly subject: string;
  readonly entry: string;
  readonly decisions: readonly DecisionView[];
}

function describeFacts(facts: Readonly<Record<string, unknown>>): string {
  return Object.entries(facts)
    .map(([name, value]) => `${name}=${String(value)}`)
    .join(' ');
}

export class ExplainCommand extends OperatorCommand {
  static override paths = [['explain']];

  static override usage = Command.Usage({
    description: 'Tells why a request went where it went.',
    examples: [
      ['Explain by what an entry remembers', '$0 explain Zk3b0Qw1S1uZ0Yd3m8m1xA'],
      ['Explain from log files', '$0 explain 37a2c044525eb8b9 --logs entry-1.log entry-2.log'],
    ],
  });

  requestId = Option.String();

  logs = Option.Boolean('--logs', false, {
    description: 'Read the log files that follow instead of asking an entry.',
  });

  files = Option.Rest({ name: 'FILE' });

  protected async carryOut(): Promise<Explanation | Story> {
    if (!this.logs && this.files.length > 0) {
      throw new LapisError(ResultCode.LogsUnreadable, 'files are read with --logs only');
    }
    if (this.logs) {
      const story = tellStory(readLogs(this.files), this.requestId);
      if (story === undefined) {
        throw new LapisError(
          ResultCode.UnknownRequest,
          `no decision about ${this.requestId} in ${this.files.join(', ')}`,
        );
      }
      return story;
    }
    const subject = encodeURIComponent(this.requestId);
    return this.client().get<Explanation>(`/v1/explain/${subject}`);
  }

  protected print(explained: Explanation | Story): void {
    if ('steps' in explained) this.printStory(explained);
    else this.printExplanation(explained);
  }

  private printStory({ requestId, steps, beliefs, cause }: Story): void {
    this.line(`${requestId}: ${cause}`);
    const rows = steps.map((step) => [
      `${step.afterMilliseconds} ms`,
      step.instance,
      step.kind,
      step.choice,
      step.reason,
      describeFacts(step.facts),
    ]);
    this.line(formatTable(['AFTER', 'INSTANCE', 'KIND', 'CHOICE', 'REASON', 'FACTS'], rows));
    const believed = beliefs.map(({ matter, state, ageMilliseconds }) => [
      matter,
      state,
      `${ageMilliseconds} ms`,
    ]);
    if (believed.length > 0) this.line(formatTable(['BELIEVED', 'STATE', 'AGE'], believed));
  }

  private printExplanation({ subject, entry, decisions }: Explanation): void {
    this.line(`${subject}, decided at ${entry}`);
    const rows = decisions.map((decision) => [
      decision.at,
      decision.kind,
      decision.choice,
      decision.reason,
      (decision.candidates ?? [])
        .map((one) => `${one.instanceId}=${one.estimatedMilliseconds.toFixed(0)}ms`)
        .join(' '),
    ]);
    this.line(formatTable(['AT', 'KIND', 'CHOICE', 'REASON', 'CANDIDATES'], rows));
  }
}
