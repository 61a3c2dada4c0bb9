/**
 * What an entry tells other instances and hears from them: engines' limits and loads, copies of
 * the servers' table, and who else lives.
 */
import type { Catalog } from '@lapisbridge/catalog';
import type { GroupHealth, ServerLedger } from '@lapisbridge/forwarding';
import { decodeRankLoad } from '@lapisbridge/group-leader';
import type { EntryState, GroupProfile } from '@lapisbridge/group-leader';
import { monotonicClock } from '@lapisbridge/kernel';
import type { Random } from '@lapisbridge/kernel';
import type { Logger } from '@lapisbridge/logger';
import { createPeers, PeerRole } from '@lapisbridge/peers';
import type { Peer, PeerName, Peers } from '@lapisbridge/peers';
import type { ProcessSettings } from '@lapisbridge/process-life';

import type { Knowledge } from './knowledge.js';

const BEAT_MILLISECONDS = 500;
/**
 * Pause for each instance known, so that a fleet of a hundred costs each of them a hundred
 * datagrams a second from entries, and no more; silence is noticed after 2.5 s.
 */
const BEAT_MILLISECONDS_PER_PEER = 10;
const LONGEST_BEAT_MILLISECONDS = 1000;

export interface EntryPeersOptions {
  settings(): ProcessSettings;
  readonly catalog: Catalog;
  readonly ledger: ServerLedger;
  readonly groupHealth: GroupHealth;
  readonly logger: Logger;
  readonly random: Random;
  /** Knowledge and peers need each other, so it is looked up when used. */
  knowledge(): Knowledge;
}

function profilesOf(catalog: Catalog): EntryState['profiles'] {
  const known: Record<string, GroupProfile> = {};
  for (const { name, engine } of catalog.operators().configuration?.services.values() ?? []) {
    if (engine === undefined || engine.sets === 0) continue;
    const { sets, experts, placesPerRank, newPerRank } = engine;
    known[name] = { sets, experts, placesPerRank, newPerRank };
  }
  return known;
}

/** Hosts of backend servers that have a sidecar: those of lock-step groups. */
function sidecarHosts(catalog: Catalog): string[] {
  const hosts: string[] = [];
  for (const { host, groupRank } of catalog.servers().servers.values()) {
    if (groupRank !== undefined) hosts.push(host);
  }
  return hosts;
}

/** The other entries of an availability zone. */
export function livingInZone(peers: Peers, availabilityZone: string): PeerName[] {
  const names: PeerName[] = [];
  for (const { name } of peers.live(PeerRole.Entry)) {
    if (name.availabilityZone === availabilityZone) names.push(name);
  }
  return names;
}

export function createEntryPeers(options: EntryPeersOptions): Peers {
  const { catalog, ledger, groupHealth, logger, random } = options;
  const { instanceId, host, availabilityZone, peerPort } = options.settings();

  function takeLoad(peer: Peer): void {
    const load = decodeRankLoad(peer.state);
    if (load === undefined) return;
    const { backendServer } = load;
    groupHealth.reported(load);
    for (const server of catalog.servers().servers.values()) {
      if (server.host !== backendServer.host || server.port !== backendServer.port) continue;
      ledger.reported(server.instanceId, load);
    }
  }

  function takeMessage(peer: Peer): void {
    const { name } = peer;
    if (name.role === PeerRole.Sidecar) takeLoad(peer);
    else if (name.availabilityZone === availabilityZone) {
      options.knowledge().heard(name.instanceId, name.host, peer.state);
    }
  }

  function describe(to: PeerName | undefined): Readonly<Record<string, unknown>> {
    if (to?.role !== PeerRole.Entry) return { profiles: profilesOf(catalog) };
    return to.availabilityZone === availabilityZone ? options.knowledge().describe() : {};
  }

  function pauseTo(to: PeerName): number {
    // The readers' word is what lets the others of the zone rest.
    if (to.role === PeerRole.Entry && to.availabilityZone === availabilityZone) {
      return BEAT_MILLISECONDS;
    }
    const known = peers.countOf(PeerRole.Entry) + peers.countOf(PeerRole.Sidecar);
    const pause = Math.max(BEAT_MILLISECONDS, known * BEAT_MILLISECONDS_PER_PEER);
    return Math.min(LONGEST_BEAT_MILLISECONDS, pause);
  }

  const peers = createPeers({
    self: { instanceId, host, role: PeerRole.Entry, availabilityZone },
    port: peerPort,
    logger,
    hosts: () => [...options.settings().seedHosts, ...sidecarHosts(catalog)],
    describe,
    onMessage: takeMessage,
    now: monotonicClock,
    random,
    beatMilliseconds: BEAT_MILLISECONDS,
    pauseTo,
  });
  return peers;
}
