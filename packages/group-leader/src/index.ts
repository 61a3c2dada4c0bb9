/**
 * One lock-step group: who leads it, what its experts' demand is, and how new maps come into
 * force.
 */
export { createGrowthMeter, decodeGrowth, packGrowth, unpackGrowth } from './count-growth.js';
export type { CountGrowth, GrowthMeter, PackedGrowth } from './count-growth.js';
export { completeMap } from './compose-map.js';
export { createDemand } from './demand.js';
export type { Demand } from './demand.js';
export { firstMap } from './first-map.js';
export { createGroupLeader } from './group-leader.js';
export { createDemandWatch } from './demand-watch.js';
export type { DemandWatch, DemandWatchOptions, GroupProfile } from './demand-watch.js';
export type { GroupLeader, GroupLeaderOptions, RankOverview } from './group-leader.js';
export { createLeadership } from './leadership.js';
export type { Leadership, LeadershipOptions } from './leadership.js';
export { planPace } from './plan-pace.js';
export type { TellingPace } from './plan-pace.js';
export { createReportQuestions } from './report-questions.js';
export type { ReportQuestions } from './report-questions.js';
export { passOnPrepare } from './prepare-relay.js';
export { RelayPath } from './relay-path.js';
export { askLeader, createRankLink } from './rank-link.js';
export type {
  RankAddress,
  RankCounts,
  RankEngine,
  RankLink,
  RankLinkOptions,
  RankMap,
  RankTarget,
  VersionedMap,
} from './rank-link.js';
export { createRankRelay, startRelayListener } from './relay-listener.js';
export type { RankRelay, RankRelayOptions, RelayListenerOptions } from './relay-listener.js';
