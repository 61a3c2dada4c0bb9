/**
 * Group membership and failure detection in the manner of SWIM: probing with suspicion and
 * incarnation numbers, at a fixed cost per instance whatever the size of the fleet.
 */
export { createMemberTable, isNewerUpdate } from './member-table.js';
export type { Member, MemberTable, MemberUpdate } from './member-table.js';
export { DEFAULT_PROBER_TIMING, GossipKind } from './gossip.js';
export type { GossipMessage, ProberOptions, ProberTiming } from './gossip.js';
export { createProber } from './prober.js';
export type { Prober } from './prober.js';
export { createMembership } from './udp-membership.js';
export type {
  ListedInstanceView,
  Membership,
  MembershipOptions,
  GossipTraffic,
} from './udp-membership.js';
