/**
 * `lapisbridge document diff FILE`
 */
import { diffDocuments, DifferenceKind } from '@lapisbridge/config';
import type { Difference } from '@lapisbridge/config';
import { Command, Option } from 'clipanion';

import { OperatorCommand } from '../../operator-command.js';
import { readValidDocument } from '../../read-document.js';

interface DocumentReply {
  readonly version: number;
  readonly text: string;
}

interface DiffResult {
  readonly version: number;
  readonly differences: readonly Difference[];
}

function describe({ kind, path, before, after }: Difference): string {
  switch (kind) {
    case DifferenceKind.Added:
      return `+ ${path}: ${JSON.stringify(after)}`;
    case DifferenceKind.Removed:
      return `- ${path}: ${JSON.stringify(before)}`;
    case DifferenceKind.Changed:
      return `~ ${path}: ${JSON.stringify(before)} -> ${JSON.stringify(after)}`;
    default: {
      const unreachable: never = kind;
      return unreachable;
    }
  }
}

export class DocumentDiffCommand extends OperatorCommand {
  static override paths = [['document', 'diff']];

  static override usage = Command.Usage({
    description: 'Shows what a document would change against the one in force.',
    examples: [['Compare', '$0 document diff brno.json']],
  });

  file = Option.String();

  version = Option.String('--version', { description: 'Compare with this version instead.' });

  protected async carryOut(): Promise<DiffResult> {
    const text = readValidDocument(this.file);
    const query = this.version === undefined ? '' : `?version=${encodeURIComponent(this.version)}`;
    const reply = await this.client().get<DocumentReply>(`/v1/document${query}`);
    const before: unknown = reply.text === '' ? {} : JSON.parse(reply.text);
    return { version: reply.version, differences: diffDocuments(before, JSON.parse(text)) };
  }

  protected print({ version, differences }: DiffResult): void {
    if (differences.length === 0) this.line(`no difference to version ${version}`);
    for (const difference of differences) this.line(describe(difference));
  }
}
