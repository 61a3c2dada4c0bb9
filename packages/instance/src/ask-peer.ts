/**
 * Asks a peer one question over a connection of its own: its shared state, or its decisions
 * about a subject.
 */
import { dial, openChannel } from '@lapisbridge/wire';
import type { Message } from '@lapisbridge/wire';
import type { InstanceRecord } from '@lapisbridge/types';

const ANSWER_MILLISECONDS = 2000;

export async function askPeer<T extends Message>(
  peer: InstanceRecord,
  hello: Message,
  question: Message,
  answerKind: T['kind'],
): Promise<T> {
  const socket = await dial(peer.host, peer.peerPort);
  return new Promise<T>((resolve, reject) => {
    const fail = (): void => reject(new Error(`no answer from ${peer.instanceId}`));
    const channel = openChannel(socket, {
      onMessage(message) {
        if (message.kind !== answerKind) return;
        resolve(message as T);
        channel.close();
      },
      onClose: fail,
      heartbeat: () => ({ stateDigest: '' }),
    });
    setTimeout(() => {
      fail();
      channel.close();
    }, ANSWER_MILLISECONDS).unref();
    channel.send(hello);
    channel.send(question);
  });
}
