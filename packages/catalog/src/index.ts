/**
 * Knowledge of a deployment: configuration, drained zones and backend servers, each as of one
 * revision.
 */
export { createCatalog } from './catalog.js';
export type { Catalog, OperatorOrders, ServerList } from './catalog.js';
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
export type { FollowOptions, TableFollower } from './follow-table.js';
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
export { dropReplaced } from './drop-replaced.js';
export { LAPSE_MILLISECONDS, retainLapsed } from './retain-lapsed.js';
export type { LapseInput } from './retain-lapsed.js';
export { createStoreClock } from './store-clock.js';
export type { StoreClock } from './store-clock.js';
export { fingerprintOf } from './fingerprint.js';
export { createFreshnessWatch, decodeFreshnessReport } from './freshness-watch.js';
export type {
  Confirmation,
  CopyVersion,
  FreshnessReport,
  FreshnessWatch,
} from './freshness-watch.js';
export { decodeCopy, encodeCopy } from './table-copy.js';
