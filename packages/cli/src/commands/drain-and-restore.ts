/**
 * Taking an availability zone or an instance out of service and back.
 */
import { DrainTargetKind, ServiceState } from '@lapisbridge/types';
import { Command, Option } from 'clipanion';

import { OperatorCommand } from '../operator-command.js';

export interface OrderReply {
  readonly target: string;
  readonly state: ServiceState;
  readonly durable: boolean;
}

abstract class OrderCommand extends OperatorCommand {
  target = Option.String();

  protected async send(
    targetKind: DrainTargetKind,
    state: ServiceState,
    force: boolean,
  ): Promise<OrderReply> {
    const body = { targetKind, target: this.target, state, force };
    return this.client().post<OrderReply>('/v1/orders', body);
  }

  protected print({ target, state, durable }: OrderReply): void {
    this.line(`${target}: ${state}`);
    if (durable) return;
    this.line('NOT DURABLE: the platform’s table does not answer. The order is in force and');
    this.line('spreads between instances; it is written to the table when that is back.');
  }
}

abstract class DrainCommand extends OrderCommand {
  force = Option.Boolean('--force', false, {
    description: 'Drain even if the rest could not carry the load.',
  });
}

export class ZoneDrainCommand extends DrainCommand {
  static override paths = [['zone', 'drain']];

  static override usage = Command.Usage({
    description: 'Takes an availability zone out of service.',
    examples: [['Drain a zone', '$0 zone drain brno-a']],
  });

  protected carryOut(): Promise<OrderReply> {
    return this.send(DrainTargetKind.AvailabilityZone, ServiceState.Drained, this.force);
  }
}

export class ZoneRestoreCommand extends OrderCommand {
  static override paths = [['zone', 'restore']];

  static override usage = Command.Usage({
    description: 'Brings an availability zone back into service.',
    examples: [['Restore a zone', '$0 zone restore brno-a']],
  });

  protected carryOut(): Promise<OrderReply> {
    return this.send(DrainTargetKind.AvailabilityZone, ServiceState.InService, false);
  }
}

export class InstanceDrainCommand extends DrainCommand {
  static override paths = [['instance', 'drain']];

  static override usage = Command.Usage({
    description: 'Takes an instance out of service.',
    examples: [['Drain an instance', '$0 instance drain brno-a-runner-1']],
  });

  protected carryOut(): Promise<OrderReply> {
    return this.send(DrainTargetKind.Instance, ServiceState.Drained, this.force);
  }
}

export class InstanceRestoreCommand extends OrderCommand {
  static override paths = [['instance', 'restore']];

  static override usage = Command.Usage({
    description: 'Brings an instance back into service.',
    examples: [['Restore an instance', '$0 instance restore brno-a-runner-1']],
  });

  protected carryOut(): Promise<OrderReply> {
    return this.send(DrainTargetKind.Instance, ServiceState.InService, false);
  }
}
