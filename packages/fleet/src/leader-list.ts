/**
 * The known leader of each lock-step group: of several claims, the one with the highest fencing
 * number.
 */
import type { LeaderAddress } from './message.js';

export interface LeaderList {
  /** Returns false when a leader with the same or a higher fencing number is already known. */
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
