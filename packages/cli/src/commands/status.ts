/**
 * `lapisbridge status`
 */
import { Command } from 'clipanion';

import { formatTable } from '../format-table.js';
import { OperatorCommand } from '../operator-command.js';
import type { InstanceView, StatusView } from '../status-view.js';

function loadText({ load }: InstanceView): string {
  if (load === undefined) return '';
  const warmth = load.warm ? '' : ' cold';
  return `${load.running}+${load.queued}/${load.limit}${warmth}`;
}

export class StatusCommand extends OperatorCommand {
  static override paths = [['status']];

  static override usage = Command.Usage({
    description: 'Shows every instance, its state, configuration version and load.',
    details: 'Load reads: running + queued / limit.',
    examples: [['Show', '$0 status']],
  });

  protected async carryOut(): Promise<StatusView> {
    return this.client().get<StatusView>('/v1/status');
  }

  protected print(status: StatusView): void {
    this.line(`${status.environment}, version ${status.version}, told by ${status.answeredBy}`);
    const rows = [...status.instances]
      .sort((left, right) => (left.instanceId < right.instanceId ? -1 : 1))
      .map((instance) => [
        instance.instanceId,
        instance.role,
        instance.availabilityZone,
        instance.drained ? `${instance.state}, drained` : instance.state,
        String(instance.version),
        (instance.serves ?? []).join(','),
        loadText(instance),
      ]);
    const headings = ['INSTANCE', 'ROLE', 'ZONE', 'STATE', 'VERSION', 'SERVES', 'LOAD'];
    this.line(formatTable(headings, rows));
  }
}
