/**
 * What every instance runs whatever its role: the peer listener, the shared state with its
 * synchronisation, and membership. Registered as named services in a kernel, so that the
 * role's own services find them.
 */
import { createHash } from 'node:crypto';

import { determineMachineSize, planClientLimits } from '@lapisbridge/client-limits';
import type { Settings } from '@lapisbridge/config';
import { createKernel, createRandom, monotonicClock } from '@lapisbridge/kernel';
import type { Kernel, MonotonicClock, Random } from '@lapisbridge/kernel';
import { createLogger } from '@lapisbridge/logger';
import type { Logger, LogFormat, LogLevel } from '@lapisbridge/logger';
import { createMembership } from '@lapisbridge/membership';
import type { Member, Membership } from '@lapisbridge/membership';
import { createPlatform } from '@lapisbridge/platform';
import type { Platform } from '@lapisbridge/platform';
import { createSharedState, createStateStore, createStateSync } from '@lapisbridge/shared-state';
import type { SharedState, StateStore, StateSync } from '@lapisbridge/shared-state';
import { Role } from '@lapisbridge/types';
import type { InstanceRecord, LoadReport } from '@lapisbridge/types';
import { MessageKind, PROTOCOL_VERSION } from '@lapisbridge/wire';
import type { Channel, Heartbeat, Hello, Message, StateReply } from '@lapisbridge/wire';

import { askPeer } from './ask-peer.js';
import { createPeerListener } from './peer-listener.js';
import type { PeerListener } from './peer-listener.js';
import { settingsToRecord } from './settings-to-record.js';

/** What a role adds to the common parts. */
export interface RoleHandlers {
  onMessage(message: Message, channel: Channel): void;
  onChannelClose(channel: Channel): void;
  onMemberChange(member: Member): void;
  onOwnLeaving(): void;
  /** A sidecar's load, sent with its heartbeats. */
  load?(): LoadReport;
}

export interface Instance {
  readonly kernel: Kernel;
  readonly self: InstanceRecord;
  readonly logger: Logger;
  readonly platform: Platform;
  readonly clock: MonotonicClock;
  readonly random: Random;
  readonly state: SharedState;
  readonly store: StateStore;
  readonly sync: StateSync;
  readonly membership: Membership;
  readonly peerListener: PeerListener;
  hello(): Hello;
  heartbeat(): Omit<Heartbeat, 'kind'>;
  /** Compares a digest heard on a channel and asks its sender for the state when it is ahead. */
  heardDigest(digest: string, channel: Channel): void;
}

/** The seed differs between instances, so that their jittered timers do not march in step. */
function seedOf(instanceId: string): number {
  return createHash('sha256').update(`${instanceId}${process.pid}`).digest().readInt32BE(0);
}

export function createInstance(settings: Settings, handlers: RoleHandlers): Instance {
  const kernel = createKernel();
  const self = settingsToRecord(settings);
  const random = createRandom(seedOf(settings.instanceId));
  const logger = createLogger({
    level: settings.logLevel as LogLevel,
    format: settings.logFormat as LogFormat,
    instanceId: settings.instanceId,
    availabilityZone: settings.availabilityZone,
  });
  const platform = createPlatform(settings.platform);
  const state = createSharedState(settings.environment, logger);
  const store = createStateStore(platform.table);
  const sync = createStateSync({
    environment: settings.environment,
    state,
    store,
    logger,
    random,
    writesOrders: settings.role === Role.Entry,
  });

  function hello(): Hello {
    const load = handlers.load?.();
    return {
      kind: MessageKind.Hello,
      protocolVersion: PROTOCOL_VERSION,
      instanceId: self.instanceId,
      environment: self.environment,
      availabilityZone: self.availabilityZone,
      ...(load === undefined ? {} : { load }),
    };
  }

  function heartbeat(): Omit<Heartbeat, 'kind'> {
    const load = handlers.load?.();
    return { stateDigest: state.digest, ...(load === undefined ? {} : { load }) };
  }

  function heardDigest(digest: string, channel: Channel): void {
    sync.handlePeerDigest(digest, () => channel.send({ kind: MessageKind.StateRequest }));
  }

  async function fetchState(peer: InstanceRecord): Promise<void> {
    try {
      const question = { kind: MessageKind.StateRequest } as const;
      const reply = await askPeer<StateReply>(peer, hello(), question, MessageKind.StateReply);
      state.merge(reply.state);
    } catch (thrown) {
      logger.debug('state fetch failed', {
        peer: peer.instanceId,
        reason: (thrown as Error).message,
      });
    }
  }

  const membership = createMembership({
    self,
    clock: monotonicClock,
    random,
    listInstances: () => platform.listInstances(self.environment),
    stateDigest: () => state.digest,
    onChange(member) {
      logger.debug('member', { member: member.record.instanceId, state: member.state });
      handlers.onMemberChange(member);
    },
    onPeerDigest(peer, digest) {
      sync.handlePeerDigest(digest, () => void fetchState(peer));
    },
    onOwnLeaving: () => handlers.onOwnLeaving(),
  });
  // A change must be in force everywhere within seconds, and idle connections beat seldom.
  state.onChange(() => {
    membership.announceVersion(state.configuration?.version ?? 0);
    peerListener.beat();
  });

  const limits = planClientLimits(determineMachineSize(settings.machine ?? {}));
  const peerListener = createPeerListener({
    host: settings.listen.host,
    port: settings.listen.peerPort,
    environment: settings.environment,
    maximumConnections: limits.instanceConnections,
    maximumFrameBytes: limits.bodyBytes,
    hello,
    heartbeat,
    serializeState: () => state.serialize(),
    onPeerDigest: heardDigest,
    mergeState: (serialized) => state.merge(serialized),
    onMessage: (message, channel) => handlers.onMessage(message, channel),
    onClose: (channel) => handlers.onChannelClose(channel),
  });

  kernel.register('platform', { stop: () => platform.close() });
  kernel.register('peerListener', peerListener);
  kernel.register('membership', membership);
  kernel.register('stateSync', sync);
  return {
    kernel,
    self,
    logger,
    platform,
    clock: monotonicClock,
    random,
    state,
    store,
    sync,
    membership,
    peerListener,
    hello,
    heartbeat,
    heardDigest,
  };
}
