/**
 * `lapisbridge document show`
 */
import { Command, Option } from 'clipanion';

import { OperatorCommand } from '../../operator-command.js';

interface DocumentReply {
  readonly version: number;
  readonly text: string;
}

export class DocumentShowCommand extends OperatorCommand {
  static override paths = [['document', 'show']];

  static override usage = Command.Usage({
    description: 'Prints the document in force, or an earlier version.',
    examples: [['Save the document in force', '$0 document show > brno.json']],
  });

  version = Option.String('--version', { description: 'Print this version instead.' });

  protected async carryOut(): Promise<DocumentReply> {
    const query = this.version === undefined ? '' : `?version=${encodeURIComponent(this.version)}`;
    return this.client().get<DocumentReply>(`/v1/document${query}`);
  }

  protected print({ text }: DocumentReply): void {
    this.line(text.trimEnd());
  }
}
