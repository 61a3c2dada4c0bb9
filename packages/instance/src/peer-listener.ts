/**
 * Accepts connections of other instances. What every role answers alike (hello, digests,
 * state) is answered here; the rest goes to the role's own handler.
 */
import { createServer } from 'node:net';
import type { Server, Socket } from 'node:net';

import { createFrameBudget, MessageKind, openChannel, PROTOCOL_VERSION } from '@lapisbridge/wire';
import type { Channel, Heartbeat, Hello, Message } from '@lapisbridge/wire';

export interface PeerListenerOptions {
  readonly host: string;
  readonly port: number;
  readonly environment: string;
  /** Connections of other instances; beyond, those without a hello are closed first. */
  readonly maximumConnections: number;
  /** Bytes of incomplete frames of all connections together. */
  readonly maximumFrameBytes: number;
  hello(): Hello;
  heartbeat(): Omit<Heartbeat, 'kind'>;
  serializeState(): Uint8Array;
  onPeerDigest(digest: string, channel: Channel): void;
  mergeState(serialized: Uint8Array): void;
  onMessage(message: Message, channel: Channel): void;
  onClose(channel: Channel): void;
}

export interface PeerListener {
  start(): Promise<void>;
  stop(): Promise<void>;
  /** Sends to every connected peer. */
  broadcast(message: Message): void;
  /** Beats on every connection now, because what heartbeats carry has changed. */
  beat(): void;
}

export function createPeerListener(options: PeerListenerOptions): PeerListener {
  const channels = new Set<Channel>();
  /** Channels whose peer has not sent a compatible hello, oldest first. */
  const strangers = new Set<Channel>();
  const frameBudget = createFrameBudget(options.maximumFrameBytes);
  let server: Server | undefined;

  function onHello(message: Hello, channel: Channel): void {
    const compatible =
      message.protocolVersion === PROTOCOL_VERSION && message.environment === options.environment;
    if (!compatible) {
      channel.close();
      return;
    }
    strangers.delete(channel);
    channel.send(options.hello());
  }

  function onMessage(message: Message, channel: Channel): void {
    switch (message.kind) {
      case MessageKind.Hello:
        onHello(message, channel);
        break;
      case MessageKind.Heartbeat:
        if (message.stateDigest !== '') options.onPeerDigest(message.stateDigest, channel);
        break;
      case MessageKind.StateRequest:
        channel.send({ kind: MessageKind.StateReply, state: options.serializeState() });
        break;
      case MessageKind.StateReply:
        options.mergeState(message.state);
        break;
      default:
        options.onMessage(message, channel);
    }
  }

  function accept(socket: Socket): void {
    const oldest = strangers.values().next().value;
    if (channels.size >= options.maximumConnections) {
      if (oldest === undefined) {
        socket.destroy();
        return;
      }
      oldest.abort();
    }
    const channel = openChannel(
      socket,
      {
        onMessage,
        onClose(_reason, closed) {
          channels.delete(closed);
          strangers.delete(closed);
          options.onClose(closed);
        },
        heartbeat: () => options.heartbeat(),
      },
      { frameBudget },
    );
    channels.add(channel);
    strangers.add(channel);
  }

  return {
    async start() {
      const opened = createServer(accept);
      server = opened;
      await new Promise<void>((resolve, reject) => {
        opened.once('error', reject);
        opened.listen(options.port, options.host, () => resolve());
      });
    },
    async stop() {
      const closed = new Promise<void>((resolve) => {
        if (server === undefined) resolve();
        else server.close(() => resolve());
      });
      for (const channel of channels) channel.close();
      await closed;
    },
    beat() {
      for (const channel of channels) channel.sendHeartbeat();
    },
    broadcast(message) {
      for (const channel of channels) channel.send(message);
    },
  };
}
