/**
 * Gossip between instances over UDP: which entries are alive, the load of every rank, and how fresh
 * each entry's copies of the store's tables are. In a large fleet, delegates of each availability
 * zone relay it.
 */
export { createDatagramLink } from './datagram-link.js';
export type { DatagramLink, DatagramLinkOptions, SentCount } from './datagram-link.js';
export { createEntryFleet } from './entry-fleet.js';
export type { EntryFleet, EntryFleetOptions, SidecarAddress } from './entry-fleet.js';
export { InstanceRole, MessageKind, RosterScope } from './message.js';
export type {
  FleetMessage,
  InstanceName,
  RankState,
  RelayedRateLimit,
  SummarizedRank,
} from './message.js';
export { ReadingRole } from './plan-delegates.js';
export type { RankLoad } from './pack-loads.js';
export { simulateFleet } from './simulated-fleet.js';
export type { SimulatedEntry, SimulatedFleet, SimulatedFleetOptions } from './simulated-fleet.js';
export { createSidecarFleet } from './sidecar-fleet.js';
export type { SidecarFleet, SidecarFleetOptions } from './sidecar-fleet.js';
