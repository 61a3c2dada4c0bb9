/**
 * Who leads each lock-step group, as far as this instance has heard: the highest fencing number.
 */
import type { LeaderAddress } from './message.js';

export interface LeaderList {
  /** False when as new a leader is known already. */
  onLeader(leader: LeaderAddress): boolean;
  all(): readonly LeaderAddress[];
}

export function createLeaderList(): LeaderList {
  const leaders = new Map<string, LeaderAddress>();
  return {
    onLeader(leader) {
      const known = leaders.get(leader.group);
      if (known !== undefined && known.fence >= leader.fence) return false;
      leaders.set(leader.group, leader);
      return true;
    },
    all: () => [...leaders.values()],
  };
}
