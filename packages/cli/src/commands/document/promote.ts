/**
 * `lapisbridge document promote trial production --version N`
 */
import { LapisError, ResultCode } from '@lapisbridge/errors';
import { Command, Option } from 'clipanion';

import { OperatorCommand } from '../../operator-command.js';
import { parseVersion } from '../../parse-version.js';
import type { StatusView } from '../../status-view.js';
import type { AcceptedReply } from './apply.js';

export class DocumentPromoteCommand extends OperatorCommand {
  static override paths = [['document', 'promote']];

  static override usage = Command.Usage({
    description: 'Takes a version of one environment over into another.',
    details: 'Ask an entry of the environment that receives the document.',
    examples: [['Promote', '$0 document promote trial production --version 7 --base 3']],
  });

  from = Option.String();

  to = Option.String();

  version = Option.String('--version', { required: true, description: 'Version to promote.' });

  base = Option.String('--base', {
    description:
      'Version of the receiving environment you looked at; the one in force when left out.',
  });

  author = Option.String('--author', process.env.USER ?? 'operator', {
    description: 'Name shown in the history.',
  });

  protected async carryOut(): Promise<AcceptedReply> {
    const client = this.client();
    const status = await client.get<StatusView>('/v1/status');
    if (status.environment !== this.to) {
      throw new LapisError(
        ResultCode.UnknownTarget,
        `this entry serves ${status.environment}, not ${this.to}`,
      );
    }
    const base = this.base === undefined ? status.version : parseVersion(this.base);
    return client.post<AcceptedReply>('/v1/promote', {
      from: this.from,
      version: parseVersion(this.version),
      base,
      author: this.author,
    });
  }

  protected print({ version, changeId }: AcceptedReply): void {
    this.line(`${this.to} is at version ${version}, change ${changeId}`);
  }
}
