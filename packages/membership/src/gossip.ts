/**
 * What members say to each other, and the timing of probes.
 */
import type { InstanceRecord } from '@lapisbridge/types';

import type { Member, MemberUpdate } from './member-table.js';

export enum GossipKind {
  Ping,
  Ack,
  PingRequest,
}

export interface GossipMessage {
  readonly kind: GossipKind;
  readonly sequence: number;
  /** The sender's own state, so that any message also introduces its sender. */
  readonly from: MemberUpdate;
  /** For a ping request: whom to ping. */
  readonly target?: string;
  readonly updates: readonly MemberUpdate[];
  readonly stateDigest: string;
}

export interface ProberOptions {
  readonly self: InstanceRecord;
  readonly incarnation: number;
  readonly random: () => number;
  send(to: InstanceRecord, message: GossipMessage): void;
  stateDigest(): string;
  /** A member's state, version or existence changed. */
  onChange(member: Member): void;
  onPeerDigest(peer: InstanceRecord, digest: string): void;
  readonly timing?: Partial<ProberTiming>;
}

export interface ProberTiming {
  readonly probePeriodMilliseconds: number;
  readonly ackTimeoutMilliseconds: number;
  readonly suspicionTimeoutMilliseconds: number;
  /** How long a dead member is remembered and now and then probed. */
  readonly deadRetentionMilliseconds: number;
}

export const DEFAULT_PROBER_TIMING: ProberTiming = {
  probePeriodMilliseconds: 1000,
  ackTimeoutMilliseconds: 300,
  suspicionTimeoutMilliseconds: 3000,
  deadRetentionMilliseconds: 24 * 3600 * 1000,
};
