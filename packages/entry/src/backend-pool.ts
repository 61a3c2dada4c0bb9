/**
 * Connections of one entry to the sidecars of its subset. A connection that fell silent is
 * replaced, and only new connections that fail count against a sidecar, because something
 * between the two ends can lose track of one connection while others work.
 */
import type { Instance } from '@lapisbridge/instance';
import type { Member } from '@lapisbridge/membership';
import type { Candidate } from '@lapisbridge/routing';
import { parseDigest } from '@lapisbridge/shared-state';
import { BackendServerKind, InstanceState } from '@lapisbridge/types';
import type { InstanceRecord, LoadReport } from '@lapisbridge/types';
import { dial, MessageKind, openChannel } from '@lapisbridge/wire';
import type { AttemptId, KeyAnswer, Message } from '@lapisbridge/wire';

import { createConnection } from './backend-connection.js';
import type { AttemptListener, Connection } from './backend-connection.js';
import { createKeyQueries } from './key-queries.js';
import { groupIsWhole, planConnections } from './plan-connections.js';
import type { LoadedServer } from './plan-drain-check.js';

export interface BackendPool {
  start(): void;
  stop(): void;
  /** Sidecars that may take new work for a model or service, as far as this entry knows. */
  candidates(kind: BackendServerKind, name: string): readonly Candidate[];
  /** Registers for an attempt's messages; false when the sidecar is not connected. */
  listen(instanceId: string, name: AttemptId, listener: AttemptListener): boolean;
  unlisten(instanceId: string, name: AttemptId): void;
  send(instanceId: string, message: Message): boolean;
  /** Waits for a usable connection, dialing when needed. */
  connect(instanceId: string, timeoutMilliseconds: number): Promise<boolean>;
  /** Asks the sidecars of a service for their memory of a key; undefined where no answer came. */
  queryKey(
    service: string,
    account: string,
    idempotencyKey: string,
  ): Promise<readonly (KeyAnswer | undefined)[]>;
  connections(): number;
  /** Connected sidecars with their latest loads. */
  servers(): readonly LoadedServer[];
}

const REDIAL_MILLISECONDS = 200;
const MAXIMUM_REDIAL_MILLISECONDS = 2000;
const REFRESH_MILLISECONDS = 1000;

function listenerKey({ requestId, attempt }: AttemptId): string {
  return `${requestId}#${attempt}`;
}

function belongsToAttempt(message: Message): message is Message & AttemptId {
  return 'requestId' in message;
}

export interface BackendPoolOptions {
  readonly instance: Instance;
  subsetSize(): number;
}

export function createBackendPool(options: BackendPoolOptions): BackendPool {
  const { instance } = options;
  const connections = new Map<string, Connection>();
  // Whoever hears a new digest asks for the state at once.
  instance.state.onChange(() => {
    for (const { channel } of connections.values()) channel?.sendHeartbeat();
  });
  const keyQueries = createKeyQueries((instanceId, query) => {
    const connection = connections.get(instanceId);
    if (connection?.ready === true) connection.channel?.send(query);
  });
  let refreshTimer: NodeJS.Timeout | undefined;
  let stopped = false;

  function settleWaiters(connection: Connection, ready: boolean): void {
    for (const waiter of connection.waiters) waiter(ready);
    connection.waiters.clear();
  }

  function onMessage(connection: Connection, message: Message): void {
    switch (message.kind) {
      case MessageKind.Hello:
        connection.ready = true;
        connection.failures = 0;
        // A goodbye holds for the process that said it, not for the one that took its place.
        connection.leaving = false;
        noteLoad(connection, message.load);
        settleWaiters(connection, true);
        break;
      case MessageKind.Heartbeat:
        noteLoad(connection, message.load);
        connection.version = parseDigest(message.stateDigest).version;
        if (connection.channel !== undefined) {
          instance.heardDigest(message.stateDigest, connection.channel);
        }
        break;
      case MessageKind.StateRequest:
        connection.channel?.send({
          kind: MessageKind.StateReply,
          state: instance.state.serialize(),
        });
        break;
      case MessageKind.StateReply:
        instance.state.merge(message.state);
        break;
      case MessageKind.Goodbye:
        connection.leaving = true;
        break;
      case MessageKind.KeyAnswer:
        keyQueries.answered(message);
        break;
      default:
        if (belongsToAttempt(message)) onAttemptMessage(connection, message);
    }
  }

  function onAttemptMessage(connection: Connection, message: Message & AttemptId): void {
    connection.listeners.get(listenerKey(message))?.onMessage(message);
    // After the listener: an ended attempt no longer counts among this entry's own.
    if ('load' in message) noteLoad(connection, message.load);
  }

  function noteLoad(connection: Connection, load: LoadReport | undefined): void {
    if (load === undefined) return;
    connection.load = load;
    connection.ownAtReport = connection.listeners.size;
  }

  function onClose(connection: Connection): void {
    connection.channel = undefined;
    connection.ready = false;
    const listeners = [...connection.listeners.values()];
    connection.listeners.clear();
    // Redial before the listeners run: they wait for the new connection.
    void dialNow(connection);
    for (const listener of listeners) listener.onLost();
  }

  async function dialNow(connection: Connection): Promise<void> {
    if (stopped || connection.dialing || connection.channel !== undefined) return;
    connection.dialing = true;
    const { record } = connection;
    try {
      const socket = await dial(record.host, record.peerPort);
      const channel = openChannel(socket, {
        onMessage: (message) => onMessage(connection, message),
        onClose: () => onClose(connection),
        heartbeat: () => instance.heartbeat(),
      });
      connection.channel = channel;
      channel.send(instance.hello());
    } catch {
      connection.failures += 1;
      settleWaiters(connection, false);
      redialLater(connection);
    } finally {
      connection.dialing = false;
    }
  }

  function redialLater(connection: Connection): void {
    const pause = Math.min(
      REDIAL_MILLISECONDS * 2 ** Math.min(connection.failures, 8),
      MAXIMUM_REDIAL_MILLISECONDS,
    );
    setTimeout(
      () => {
        if (connections.get(connection.record.instanceId) === connection) {
          void dialNow(connection);
        }
      },
      pause * (0.5 + instance.random()),
    ).unref();
  }

  function sidecarMembers(): Member[] {
    const members: Member[] = [];
    for (const member of instance.membership.members()) {
      if (member.record.backendServer !== undefined) members.push(member);
    }
    return members;
  }

  function ensure(record: InstanceRecord): Connection {
    const known = connections.get(record.instanceId);
    if (known !== undefined) {
      known.record = record;
      return known;
    }
    const connection = createConnection(record);
    connections.set(record.instanceId, connection);
    void dialNow(connection);
    return connection;
  }

  function refresh(): void {
    const wanted = planConnections(sidecarMembers(), instance.self, options.subsetSize());
    for (const member of sidecarMembers()) {
      if (wanted.has(member.record.instanceId)) ensure(member.record);
    }
    for (const [instanceId, connection] of connections) {
      const idle = connection.listeners.size === 0 && connection.waiters.size === 0;
      if (wanted.has(instanceId) || !idle) continue;
      connections.delete(instanceId);
      connection.channel?.close();
    }
  }

  function mayTakeWork(connection: Connection): boolean {
    if (!connection.ready || connection.leaving || connection.load === undefined) return false;
    if (connection.load.draining || !connection.load.backendReachable) return false;
    const { record } = connection;
    if (instance.state.isDrained(record.instanceId, record.availabilityZone)) return false;
    const member = instance.membership.member(record.instanceId);
    if (member?.listedLeaving === true || member?.state === InstanceState.Leaving) return false;
    return groupIsWhole(record, sidecarMembers());
  }

  function serves(record: InstanceRecord, kind: BackendServerKind, name: string): boolean {
    return record.backendServer?.kind === kind && record.backendServer.names.includes(name);
  }

  return {
    start() {
      refresh();
      refreshTimer = setInterval(refresh, REFRESH_MILLISECONDS);
    },
    stop() {
      stopped = true;
      clearInterval(refreshTimer);
      for (const connection of connections.values()) connection.channel?.close();
    },
    candidates(kind, name) {
      const found: Candidate[] = [];
      for (const connection of connections.values()) {
        const { record, load } = connection;
        if (load === undefined || !serves(record, kind, name) || !mayTakeWork(connection)) continue;
        found.push({
          instanceId: record.instanceId,
          availabilityZone: record.availabilityZone,
          load,
          changeSinceReport: connection.listeners.size - connection.ownAtReport,
        });
      }
      return found;
    },
    listen(instanceId, name, listener) {
      const connection = connections.get(instanceId);
      if (connection === undefined || !connection.ready) return false;
      connection.listeners.set(listenerKey(name), listener);
      connection.channel?.acquire();
      return true;
    },
    unlisten(instanceId, name) {
      const connection = connections.get(instanceId);
      if (connection?.listeners.delete(listenerKey(name)) === true) connection.channel?.release();
    },
    send(instanceId, message) {
      const channel = connections.get(instanceId)?.channel;
      if (channel === undefined || channel.closed) return false;
      channel.send(message);
      return true;
    },
    async connect(instanceId, timeoutMilliseconds) {
      const member = instance.membership.member(instanceId);
      const known = connections.get(instanceId);
      if (known === undefined && member === undefined) return false;
      const connection = known ?? ensure((member as Member).record);
      if (connection.ready) return true;
      return new Promise((resolve) => {
        connection.waiters.add(resolve);
        setTimeout(() => {
          connection.waiters.delete(resolve);
          resolve(false);
        }, timeoutMilliseconds);
        void dialNow(connection);
      });
    },
    queryKey(service, account, idempotencyKey) {
      const asked = sidecarMembers().filter(({ record }) =>
        serves(record, BackendServerKind.PlainService, service),
      );
      return keyQueries.ask(
        asked.map(({ record }) => record.instanceId),
        account,
        idempotencyKey,
      );
    },
    connections: () => connections.size,
    servers() {
      const servers: LoadedServer[] = [];
      for (const { record, load, ready, version } of connections.values()) {
        // The last report of a sidecar that is gone would be shown, and counted, as if it lived.
        if (load !== undefined && ready) servers.push({ record, load, version });
      }
      return servers;
    },
  };
}
