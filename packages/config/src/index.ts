/**
 * Settings of a process and the environment document: schemas, checks and differences.
 */
export { checkDocument, checkSettings } from './check.js';
export { documentSchema } from './document.js';
export type {
  ClientAccount,
  EnvironmentDocument,
  Limits,
  ModelPolicy,
  PlacementPolicy,
  RoutingPolicy,
  ServicePolicy,
} from './document.js';
export { diffDocuments, DifferenceKind } from './diff.js';
export type { Difference } from './diff.js';
export { jsonSchemas } from './json-schemas.js';
export type {
  BackendServerSettings,
  EntrySettings,
  Settings,
  SidecarSettings,
} from './settings.js';
