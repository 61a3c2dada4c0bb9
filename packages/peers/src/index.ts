/**
 * Datagrams between instances: who lives, and what each has to tell.
 */
export { decodeMessage, encodeMessage, PeerRole } from './message.js';
export type { PeerMessage, PeerName } from './message.js';
export { createPeers } from './peers.js';
export type { Peer, Peers, PeersOptions } from './peers.js';
