/**
 * An entry that knows nothing of drain orders: speaks to one sidecar directly and asks it to
 * start a draft.
 */
import { readFileSync } from 'node:fs';
import { join } from 'node:path';

import { checkSettings } from '@lapisbridge/config';
import { dial, MessageKind, openChannel, PROTOCOL_VERSION } from '@lapisbridge/wire';
import type { DraftStart, Message } from '@lapisbridge/wire';

import type { Site } from '../site/site.js';

const ENTRY_ID = 'stale-entry';

function draftOf(model: string): DraftStart {
  const body = { model, messages: [{ role: 'user', content: 'from a stale entry' }] };
  return {
    kind: MessageKind.DraftStart,
    entryId: ENTRY_ID,
    requestId: 'request-of-a-stale-entry',
    attempt: 1,
    account: 'head-office',
    model,
    remainingMilliseconds: 10_000,
    estimatedTokens: 10,
    priority: 5,
    body: Buffer.from(JSON.stringify(body)),
    deliveredText: '',
    deliveredTokens: 0,
    credit: 1000,
  };
}

/** Resolves with the sidecar's first answer to the draft. */
export async function startAsStaleEntry(
  site: Site,
  instanceId: string,
  model: string,
): Promise<Message> {
  const text = readFileSync(join(site.folder, `${instanceId}.json`), 'utf8');
  const settings = checkSettings(text).unsafeCoerce();
  const socket = await dial(settings.listen.host, settings.listen.peerPort);
  return new Promise((resolve, reject) => {
    const channel = openChannel(socket, {
      onMessage(message) {
        if (!('requestId' in message)) return;
        resolve(message);
        channel.close();
      },
      onClose: () => reject(new Error('the sidecar closed the connection')),
      heartbeat: () => ({ stateDigest: '' }),
    });
    channel.send({
      kind: MessageKind.Hello,
      protocolVersion: PROTOCOL_VERSION,
      instanceId: ENTRY_ID,
      environment: settings.environment,
      availabilityZone: settings.availabilityZone,
    });
    channel.send(draftOf(model));
  });
}
