/**
 * The state of a deployment as one instance sees it: configuration, drained availability zones and
 * backend servers, each as of one store revision.
 */
export { createCatalog } from './catalog.js';
export type { Catalog, OperatorState, ServerList } from './catalog.js';
export { AccessKind, checkAccess, findRoute, pickService } from './find-route.js';
export type { Access } from './find-route.js';
export { RequestKind } from './types.js';
export type {
  BackendServer,
  CallerLimits,
  ClientAccount,
  Configuration,
  EngineProfile,
  GroupRank,
  Route,
  ServiceProfile,
  WeightedService,
} from './types.js';
export { followTable } from './follow-table.js';
export type { FollowTableOptions, StoreCallResult, TableFollower } from './follow-table.js';
export { FeedKind, TransactionKind } from './store.js';
export type {
  Feed,
  RowList,
  RowWrite,
  Store,
  StoreAnswer,
  StoreRow,
  TransactionResult,
} from './store.js';
export { dropReplacedServers } from './drop-replaced-servers.js';
export { retainExpiredServers } from './retain-expired-servers.js';
export type { RetainExpiredServersInput } from './retain-expired-servers.js';
export { createStoreClock } from './store-clock.js';
export type { StoreClock } from './store-clock.js';
export { fingerprintOf } from './fingerprint.js';
export { createFreshnessTracker, decodeFreshnessReport } from './freshness-tracker.js';
export type {
  Confirmation,
  CopyVersion,
  FreshnessReport,
  FreshnessTracker,
} from './freshness-tracker.js';
export { decodeCopy, encodeCopy } from './table-copy.js';
