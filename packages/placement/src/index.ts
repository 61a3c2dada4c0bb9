/**
 * Expert maps: planning them, and switching all ranks of a group to a new one.
 */
export {
  countNewExperts,
  countReplicas,
  initialMap,
  predictRankTimes,
  skewOf,
} from './expert-map.js';
export type { ExpertLoad, ExpertMap } from './expert-map.js';
export { createLease, leaseKey } from './lease.js';
export type { HeldLease, Lease, LeaseOptions, LeaseRecord } from './lease.js';
export { planFullMap } from './plan-full-map.js';
export { INITIAL_THRESHOLD_FACTOR, planThresholdFactor } from './plan-threshold-factor.js';
export { MapDecisionKind, planMap } from './plan-map.js';
export type { MapDecision, MapPolicy } from './plan-map.js';
export { INITIAL_RANK_STATE, planRankOrder, RankStep } from './plan-rank-order.js';
export type { RankDecision, RankOrderInput, RankState } from './plan-rank-order.js';
export { createRollout, mapKey, RolloutOutcome } from './rollout.js';
export type {
  MapRecord,
  RankAnswer,
  RankOrderMessage,
  Rollout,
  RolloutOptions,
} from './rollout.js';
export { smoothTokens } from './smooth-load.js';
export { planGroupMap } from './plan-group-map.js';
export type { GroupMapDecision, GroupMapPolicy } from './plan-group-map.js';
export { isVoidingVersion, leaderVersion, voidingVersionOf } from './map-version.js';
export { HoldEndKind, isAtHold, planHoldEnd } from './plan-hold-end.js';
export type { HoldEnd } from './plan-hold-end.js';
export { planHoldRollout } from './plan-hold-rollout.js';
export { initialRolloutState, reportsAfterOrders, RolloutPhase } from './rollout-state.js';
export type {
  AddressedOrder,
  RolloutInput,
  RolloutPlan,
  RolloutState,
  RolloutTarget,
} from './rollout-state.js';
export { EPOCHS, GROUP_SIZES, OrderOutcome, RankOrderKind, RANKS } from './rank-report.js';
export type { ArmedMap, GroupMap, RankOrder, RankReport } from './rank-report.js';
