/**
 * `lapisbridge document history`
 */
import { Command } from 'clipanion';

import { formatTable } from '../../format-table.js';
import { OperatorCommand } from '../../operator-command.js';

export interface ChangeView {
  readonly version: number;
  readonly changeId: string;
  readonly author: string;
  readonly acceptedAt: string;
}

export class DocumentHistoryCommand extends OperatorCommand {
  static override paths = [['document', 'history']];

  static override usage = Command.Usage({
    description: 'Lists the accepted versions with their authors.',
    examples: [['List', '$0 document history']],
  });

  protected async carryOut(): Promise<readonly ChangeView[]> {
    const reply = await this.client().get<{ changes: readonly ChangeView[] }>('/v1/history');
    return reply.changes;
  }

  protected print(changes: readonly ChangeView[]): void {
    const rows = changes.map((change) => [
      String(change.version),
      change.acceptedAt,
      change.author,
      change.changeId,
    ]);
    this.line(formatTable(['VERSION', 'ACCEPTED', 'AUTHOR', 'CHANGE'], rows));
  }
}
