/**
 * `lapisbridge change show ID`
 */
import { Command, Option } from 'clipanion';

import { OperatorCommand } from '../operator-command.js';
import type { ChangeView } from './document/history.js';

export class ChangeShowCommand extends OperatorCommand {
  static override paths = [['change', 'show']];

  static override usage = Command.Usage({
    description: 'Tells whether a change was accepted, for one whose outcome was unknown.',
    examples: [['Show', '$0 change show 6f1c2a9e-0b1d-4f0e-9a57-1f2e3d4c5b6a']],
  });

  changeId = Option.String();

  protected async carryOut(): Promise<ChangeView> {
    return this.client().get<ChangeView>(`/v1/changes/${encodeURIComponent(this.changeId)}`);
  }

  protected print({ version, author, acceptedAt }: ChangeView): void {
    this.line(`accepted as version ${version} by ${author} at ${acceptedAt}`);
  }
}
