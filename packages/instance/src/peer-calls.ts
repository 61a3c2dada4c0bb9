/**
 * Numbered questions to peers over connections that are kept. A group's leader asks every
 * rank again and again; a connection for each question would cost more than the question.
 */
import type { InstanceRecord } from '@lapisbridge/types';
import { dial, MessageKind, openChannel } from '@lapisbridge/wire';
import type { Channel, Hello, Message, RankOrder, RankReply } from '@lapisbridge/wire';

const ANSWER_MILLISECONDS = 35_000;

interface Peer {
  readonly channel: Channel;
  readonly waiting: Map<number, (reply: RankReply | undefined) => void>;
}

export interface PeerCalls {
  /** Rejects when the connection breaks or no answer comes; the order may have been obeyed. */
  order(peer: InstanceRecord, order: RankOrder): Promise<RankReply>;
  stop(): void;
}

function addressOf({ host, peerPort }: InstanceRecord): string {
  return `${host}:${peerPort}`;
}

export function createPeerCalls(hello: () => Hello): PeerCalls {
  const peers = new Map<string, Promise<Peer>>();

  function drop(address: string, peer: Peer): void {
    peers.delete(address);
    for (const settle of peer.waiting.values()) settle(undefined);
    peer.waiting.clear();
  }

  async function connect(record: InstanceRecord): Promise<Peer> {
    const address = addressOf(record);
    const socket = await dial(record.host, record.peerPort);
    const waiting: Peer['waiting'] = new Map();
    const onMessage = (message: Message): void => {
      if (message.kind !== MessageKind.RankReply) return;
      waiting.get(message.orderId)?.(message);
      waiting.delete(message.orderId);
    };
    const channel = openChannel(socket, {
      onMessage,
      onClose: () => drop(address, peer),
      heartbeat: () => ({ stateDigest: '' }),
    });
    const peer: Peer = { channel, waiting };
    channel.send(hello());
    return peer;
  }

  function peerOf(record: InstanceRecord): Promise<Peer> {
    const address = addressOf(record);
    const known = peers.get(address);
    if (known !== undefined) return known;
    const connecting = connect(record);
    peers.set(address, connecting);
    connecting.catch(() => peers.delete(address));
    return connecting;
  }

  function ask(peer: Peer, order: RankOrder): Promise<RankReply | undefined> {
    return new Promise((resolve) => {
      const timer = setTimeout(() => resolve(undefined), ANSWER_MILLISECONDS);
      peer.waiting.set(order.orderId, (reply) => {
        clearTimeout(timer);
        resolve(reply);
      });
      peer.channel.send(order);
    });
  }

  return {
    async order(record, order) {
      const peer = await peerOf(record);
      // While an answer is awaited, a peer that fell silent must be noticed soon.
      peer.channel.acquire();
      const reply = await ask(peer, order);
      peer.channel.release();
      peer.waiting.delete(order.orderId);
      if (reply !== undefined) return reply;
      throw new Error(`no answer from ${record.instanceId}`);
    },
    stop() {
      for (const connecting of peers.values()) {
        connecting.then(
          ({ channel }) => channel.close(),
          () => undefined,
        );
      }
    },
  };
}
