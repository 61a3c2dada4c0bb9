/**
 * `lapisbridge document apply FILE --base VERSION`
 */
import { Command, Option } from 'clipanion';

import { OperatorCommand } from '../../operator-command.js';
import { parseVersion } from '../../parse-version.js';
import { readValidDocument } from '../../read-document.js';
import { waitForSpread } from '../../wait-for-spread.js';

export interface AcceptedReply {
  readonly version: number;
  readonly changeId: string;
  readonly inForceEverywhere?: boolean;
}

export class DocumentApplyCommand extends OperatorCommand {
  static override paths = [['document', 'apply']];

  static override usage = Command.Usage({
    description: 'Puts a document in force on top of the version you looked at.',
    details:
      'Of two operators who start from the same version one wins; the other is told who changed what.',
    examples: [['Apply on top of version 3', '$0 document apply brno.json --base 3 --wait']],
  });

  file = Option.String();

  base = Option.String('--base', {
    required: true,
    description: 'Version you looked at; 0 when there is none.',
  });

  author = Option.String('--author', process.env.USER ?? 'operator', {
    description: 'Name shown in the history.',
  });

  changeId = Option.String('--change', {
    description: 'Change id of an earlier try whose outcome is unknown.',
  });

  wait = Option.Boolean('--wait', false, {
    description: 'Show how far the change has spread until it is in force everywhere.',
  });

  protected async carryOut(): Promise<AcceptedReply> {
    const text = readValidDocument(this.file);
    const client = this.client();
    const accepted = await client.post<AcceptedReply>('/v1/document', {
      base: parseVersion(this.base),
      text,
      author: this.author,
      ...(this.changeId === undefined ? {} : { changeId: this.changeId }),
    });
    if (!this.wait) return accepted;
    const inForceEverywhere = await waitForSpread(client, accepted.version, (spread) => {
      if (this.json) return;
      const zones = spread.map(
        (zone) => `${zone.availabilityZone} ${zone.inForce}/${zone.instances}`,
      );
      this.line(zones.join('  '));
    });
    return { ...accepted, inForceEverywhere };
  }

  protected print({ version, changeId, inForceEverywhere }: AcceptedReply): void {
    this.line(`accepted as version ${version}, change ${changeId}`);
    if (inForceEverywhere === false) this.line('not yet in force everywhere: see `status`');
  }
}
