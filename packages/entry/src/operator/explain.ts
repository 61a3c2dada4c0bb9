/**
 * Tells why a request went where it went: from this entry's own decisions, or another's.
 */
import { LapisError, ResultCode } from '@lapisbridge/errors';
import { askPeer } from '@lapisbridge/instance';
import type { Instance } from '@lapisbridge/instance';
import type { DecisionRecord } from '@lapisbridge/logger';
import { InstanceState, Role } from '@lapisbridge/types';
import type { InstanceRecord } from '@lapisbridge/types';
import { MessageKind } from '@lapisbridge/wire';
import type { ExplainReply } from '@lapisbridge/wire';

const MAXIMUM_ASKED_ENTRIES = 16;

export interface Explanation {
  readonly subject: string;
  /** The entry that decided. */
  readonly entry: string;
  readonly decisions: readonly DecisionRecord[];
}

function otherEntries({ membership }: Instance): InstanceRecord[] {
  const entries: InstanceRecord[] = [];
  for (const { record, state } of membership.members()) {
    if (record.role === Role.Entry && state === InstanceState.Live) entries.push(record);
  }
  return entries.slice(0, MAXIMUM_ASKED_ENTRIES);
}

async function askEntry(
  instance: Instance,
  peer: InstanceRecord,
  subject: string,
): Promise<readonly DecisionRecord[]> {
  const question = { kind: MessageKind.ExplainRequest, subject } as const;
  const reply = await askPeer<ExplainReply>(
    peer,
    instance.hello(),
    question,
    MessageKind.ExplainReply,
  ).catch(() => undefined);
  return JSON.parse(reply?.decisions ?? '[]') as DecisionRecord[];
}

export async function explain(instance: Instance, subject: string): Promise<Explanation> {
  const own = instance.logger.decisionsAbout(subject);
  if (own.length > 0) return { subject, entry: instance.self.instanceId, decisions: own };
  for (const peer of otherEntries(instance)) {
    const decisions = await askEntry(instance, peer, subject);
    if (decisions.length > 0) return { subject, entry: peer.instanceId, decisions };
  }
  throw new LapisError(ResultCode.UnknownRequest, `no decision about ${subject} is remembered`);
}
