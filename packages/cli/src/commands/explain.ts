/**
 * `lapisbridge explain REQUEST_ID`
 */
import { Command, Option } from 'clipanion';

import { formatTable } from '../format-table.js';
import { OperatorCommand } from '../operator-command.js';

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

export class ExplainCommand extends OperatorCommand {
  static override paths = [['explain']];

  static override usage = Command.Usage({
    description: 'Tells why a request went where it went.',
    examples: [['Explain', '$0 explain Zk3b0Qw1S1uZ0Yd3m8m1xA']],
  });

  requestId = Option.String();

  protected async carryOut(): Promise<Explanation> {
    const subject = encodeURIComponent(this.requestId);
    return this.client().get<Explanation>(`/v1/explain/${subject}`);
  }

  protected print({ subject, entry, decisions }: Explanation): void {
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
