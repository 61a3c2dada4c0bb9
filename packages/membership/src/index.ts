/**
 * Who is there: probing with suspicion and incarnation numbers at a fixed cost per instance.
 */
export { createMemberTable, isNews } from './member-table.js';
export type { Member, MemberTable, MemberUpdate } from './member-table.js';
export { createProber, DEFAULT_TIMING, GossipKind } from './prober.js';
export type { GossipMessage, Prober, ProberOptions, ProberTiming } from './prober.js';
export { createMembership } from './udp-membership.js';
export type {
  ListedInstanceView,
  Membership,
  MembershipOptions,
  Traffic,
} from './udp-membership.js';
