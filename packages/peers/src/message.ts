/**
 * The datagram that instances send each other. It tells who lives and, in `state`, what the
 * sender's role has to say; receivers check the shape and drop whatever does not fit.
 */
export enum PeerRole {
  Entry = 'entry',
  Sidecar = 'sidecar',
}

export interface PeerName {
  readonly instanceId: string;
  readonly host: string;
  readonly role: PeerRole;
  readonly availabilityZone: string;
}

export interface PeerMessage {
  readonly from: PeerName;
  /** Grows within one life of the sender; older messages are dropped. */
  readonly sequence: number;
  /** Others that the sender hears; empty in most messages. */
  readonly members: readonly PeerName[];
  /** What the sender's role tells; read by whoever knows that role. */
  readonly state: Readonly<Record<string, unknown>>;
}

function isRecord(value: unknown): value is Record<string, unknown> {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

function readName(value: unknown): PeerName | undefined {
  if (!isRecord(value)) return undefined;
  const { instanceId, host, role, availabilityZone } = value;
  if (typeof instanceId !== 'string' || typeof host !== 'string') return undefined;
  if (typeof availabilityZone !== 'string') return undefined;
  if (role !== PeerRole.Entry && role !== PeerRole.Sidecar) return undefined;
  return { instanceId, host, role, availabilityZone };
}

export function encodeMessage(message: PeerMessage): Buffer {
  return Buffer.from(JSON.stringify(message));
}

/** Undefined for bytes that are no message. */
export function decodeMessage(bytes: Buffer): PeerMessage | undefined {
  let value: unknown;
  try {
    value = JSON.parse(bytes.toString('utf8'));
  } catch {
    return undefined;
  }
  if (!isRecord(value)) return undefined;
  const from = readName(value.from);
  const { sequence, members, state } = value;
  if (from === undefined || typeof sequence !== 'number') return undefined;
  if (!Array.isArray(members) || !isRecord(state)) return undefined;
  const names: PeerName[] = [];
  for (const member of members) {
    const name = readName(member);
    if (name !== undefined) names.push(name);
  }
  return { from, sequence, members: names, state };
}
