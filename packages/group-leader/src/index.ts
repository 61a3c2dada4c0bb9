/**
 * Leader of one lock-step group: election, expert demand, and rollout of expert maps.
 */
export {
  createCountDeltaTracker,
  decodeCountDelta,
  quantizeCountDelta,
  dequantizeCountDelta,
} from './count-delta.js';
export type { CountDelta, CountDeltaTracker, QuantizedCountDelta } from './count-delta.js';
export { createPlaceholderMap } from './compose-map.js';
export { createDemandWindow } from './demand.js';
export type { DemandWindow } from './demand.js';
export { initialGroupMap } from './initial-group-map.js';
export { createGroupLeader } from './group-leader.js';
export { createMapPlanner } from './map-planner.js';
export type { MapPlanner, MapPlannerOptions, GroupProfile } from './map-planner.js';
export type { GroupLeader, GroupLeaderOptions, RankOverview } from './group-leader.js';
export { createLeadership } from './leadership.js';
export type { Leadership, LeadershipOptions } from './leadership.js';
export { planReportingIntervals } from './plan-pace.js';
export type { ReportingIntervals } from './plan-pace.js';
export { createReportRequests } from './report-requests.js';
export type { ReportRequests } from './report-requests.js';
export { forwardPrepare } from './prepare-forwarding.js';
export { RelayPath } from './relay-path.js';
export { queryLeader, createRankClient } from './rank-client.js';
export type {
  RankAddress,
  RankCounts,
  RankEngine,
  RankClient,
  RankClientOptions,
  RankMap,
  RankTarget,
  VersionedMap,
} from './rank-client.js';
export { createRankRelay, startRelayListener } from './relay-listener.js';
export type { RankRelay, RankRelayOptions, RelayListenerOptions } from './relay-listener.js';
