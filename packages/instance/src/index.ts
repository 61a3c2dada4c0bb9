/**
 * The common parts of every instance.
 */
export { askPeer } from './ask-peer.js';
export { createInstance } from './instance.js';
export type { Instance, RoleHandlers } from './instance.js';
export { createPeerCalls } from './peer-calls.js';
export type { PeerCalls } from './peer-calls.js';
export { settingsToRecord } from './settings-to-record.js';
