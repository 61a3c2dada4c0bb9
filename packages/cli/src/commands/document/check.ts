/**
 * `lapisbridge document check FILE`
 */
import { Command, Option } from 'clipanion';

import { OperatorCommand } from '../../operator-command.js';
import { readValidDocument } from '../../read-document.js';

export class DocumentCheckCommand extends OperatorCommand {
  static override paths = [['document', 'check']];

  static override usage = Command.Usage({
    description: 'Checks an environment document and prints every problem.',
    examples: [['Check a document', '$0 document check brno.json']],
  });

  file = Option.String();

  protected async carryOut(): Promise<unknown> {
    readValidDocument(this.file);
    return { file: this.file, valid: true };
  }

  protected print(): void {
    this.line(`${this.file}: ok`);
  }
}
