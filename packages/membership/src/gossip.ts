/**
 * Gossip messages between members, and the timing of probes.
 */
import type { InstanceRecord } from '@lapisbridge/types';

import type { Member, MemberUpdate } from './member-table.js';

/** Kind of a gossip message; the numeric value is sent. */
export enum GossipKind {
  Ping,
  Ack,
  PingRequest,
}

/** A gossip datagram, encoded as CBOR under these field names. */
export interface GossipMessage {
  readonly kind: GossipKind;
  /** Number of the probe, chosen by its sender; an ack repeats it. */
  readonly sequence: number;
  /** The sender's own state, so that a receiver learns of the sender from any message. */
  readonly from: MemberUpdate;
  /** Instance id of the member to ping; only in a ping request. */
  readonly target?: string;
  readonly updates: readonly MemberUpdate[];
  /** Digest of the sender's shared state. */
  readonly stateDigest: string;
}

export interface ProberOptions {
  readonly self: InstanceRecord;
  /** Must be higher than in any earlier run of this instance. */
  readonly incarnation: number;
  /** Uniform in [0, 1). */
  readonly random: () => number;
  send(to: InstanceRecord, message: GossipMessage): void;
  stateDigest(): string;
  /** Called when a member is added, or its record, state, version or listing changes. */
  onChange(member: Member): void;
  /** Called with the shared state digest of every message received. */
  onPeerDigest(peer: InstanceRecord, digest: string): void;
  readonly timing?: Partial<ProberTiming>;
}

export interface ProberTiming {
  /** Time between the starts of two probes. */
  readonly probePeriodMilliseconds: number;
  /** Time without an ack until indirect probes start; after three times this the probe fails. */
  readonly ackTimeoutMilliseconds: number;
  /** Time that a suspect has to refute before it counts as dead. */
  readonly suspicionTimeoutMilliseconds: number;
  /** Time for which a dead member stays in the table and is occasionally probed. */
  readonly deadRetentionMilliseconds: number;
}

export const DEFAULT_PROBER_TIMING: ProberTiming = {
  probePeriodMilliseconds: 1000,
  ackTimeoutMilliseconds: 300,
  suspicionTimeoutMilliseconds: 3000,
  deadRetentionMilliseconds: 24 * 3600 * 1000,
};
