/**
 * The gossip state machine of a sidecar. It reports to the entries that announced themselves, sends
 * its count increments towards the group's leader, and, while it leads, sends heartbeats to the
 * other ranks. It has no sockets or timers: the caller supplies `send` and calls `tick`.
 */
import type {
  GroupProfile,
  QuantizedCountDelta,
  RankTarget,
  ReportingIntervals,
} from '@lapisbridge/group-leader';
import type { RankReport } from '@lapisbridge/placement';

import { InstanceRole, MessageKind, RosterScope } from './message.js';
import type { FleetMessage, InstanceName, RankState, SummarizedRank } from './message.js';

export interface SidecarFleetOptions {
  readonly self: InstanceName;
  /** Port on which sidecars and entries accept calls from each other. */
  readonly sidecarPort: number;
  seedHosts(): readonly string[];
  /** State of this sidecar's rank; undefined while its engine does not answer. */
  state(): RankState | undefined;
  pace(): ReportingIntervals;
  /** Fencing number while this sidecar leads. */
  fence(): number | undefined;
  /** Whether this leader has seen its group with no hold in force and no switch armed. */
  isSettled(): boolean;
  onProfiles(profiles: Readonly<Record<string, GroupProfile>>): void;
  onLeader(fence: number, isSettled: boolean): void;
  /** Called on a leader with the count increments of other ranks. */
  onGrowth(growth: QuantizedCountDelta): void;
  onQuestion(from: InstanceName, question: number): void;
  onAnswer(question: number, report: RankReport): void;
  send(host: string, message: FleetMessage): void;
  now(): number;
}

export interface SidecarFleet {
  receive(from: InstanceName, message: FleetMessage): void;
  /** Sends due messages. Returns the milliseconds until the next call. */
  tick(): number;
  /** Reports to all listeners at once, as when the group opens or breaks or its leader changes. */
  reportNow(): void;
  /** Sends this rank's count increments towards the leader. */
  sendGrowth(growth: QuantizedCountDelta): void;
  /** Requests a fresh report from the sidecar at a host. */
  requestReport(host: string, question: number): void;
  answerReportRequest(host: string, question: number, report: RankReport): void;
  /** Addresses of the known ranks, by rank. */
  targets(): ReadonlyMap<number, RankTarget>;
  /** Summaries of the known ranks, by rank. */
  ranks(): ReadonlyMap<number, SummarizedRank>;
}

interface Listener {
  readonly name: InstanceName;
  readonly wantsEveryReport: boolean;
  readonly isPrimary: boolean;
  readonly announcedAt: number;
}

/** Tick interval of a leader, and of a rank whose growth is not relayed. */
const TICK_INTERVAL_MILLISECONDS = 80;
/** Timers fire late, never early; without slack each interval would grow by a tick. */
const TIMER_SLACK_MILLISECONDS = TICK_INTERVAL_MILLISECONDS / 2;
/** An entry that has not repeated its announcement for this long gets no more reports. */
const LISTENER_LIFETIME_MILLISECONDS = 2500;
/** Interval of requests to the seeds while no entry has announced itself. */
const HELLO_INTERVAL_MILLISECONDS = 300;
/** Interval at which a leader sends the addresses of all ranks to its deputy. */
const DIRECTORY_INTERVAL_MILLISECONDS = 1000;
/** A standby delegate gets one in this many reports. */
const STANDBY_REPORT_DIVISOR = 3;

export function createSidecarFleet(options: SidecarFleetOptions): SidecarFleet {
  const { self, now, send } = options;
  const listeners = new Map<string, Listener>();
  const reportedAt = new Map<string, number>();
  const ranks = new Map<number, SummarizedRank>();
  /** Host of the entry whose summary named the rank last. */
  const entryHostByRank = new Map<number, string>();
  let helloAt = -Infinity;
  /** Start of the current period without listeners. */
  let withoutListenerSince = now();
  let heartbeatAt = -Infinity;
  let directoryAt = -Infinity;
  let leaderHost: string | undefined;
  let highestFence = 0;

  /** Returns the listeners whose announcement has not expired, and removes the others. */
  function activeListeners(): Listener[] {
    const active: Listener[] = [];
    for (const [instanceId, listener] of listeners) {
      if (now() - listener.announcedAt <= LISTENER_LIFETIME_MILLISECONDS) {
        active.push(listener);
      } else {
        listeners.delete(instanceId);
        reportedAt.delete(instanceId);
      }
    }
    return active;
  }

  function report(listener: Listener, growth?: QuantizedCountDelta): void {
    const state = options.state();
    if (state === undefined) return;
    reportedAt.set(listener.name.instanceId, now());
    send(listener.name.host, {
      kind: MessageKind.RankState,
      state,
      fence: options.fence(),
      growth,
    });
  }

  function sendDueReports(): void {
    const { entryReportMilliseconds: beat } = options.pace();
    for (const listener of activeListeners()) {
      const intervalMilliseconds = listener.wantsEveryReport ? beat : beat * STANDBY_REPORT_DIVISOR;
      const elapsedMilliseconds = now() - (reportedAt.get(listener.name.instanceId) ?? -Infinity);
      if (elapsedMilliseconds >= intervalMilliseconds - TIMER_SLACK_MILLISECONDS) report(listener);
    }
  }

  function requestListeners(): void {
    if (listeners.size > 0) {
      withoutListenerSince = now();
      return;
    }
    if (now() - helloAt < HELLO_INTERVAL_MILLISECONDS) return;
    helloAt = now();
    for (const host of options.seedHosts()) {
      send(host, {
        kind: MessageKind.Hello,
        scope: RosterScope.Fleet,
        knownHash: undefined,
        waitedMilliseconds: now() - withoutListenerSince,
      });
    }
  }

  function sendHeartbeats(): void {
    const fence = options.fence();
    const state = options.state();
    if (fence === undefined || state === undefined) return;
    if (now() - heartbeatAt < options.pace().heartbeatMilliseconds - TIMER_SLACK_MILLISECONDS)
      return;
    heartbeatAt = now();
    for (const [rank, { host }] of ranks) {
      if (rank === state.rank) continue;
      send(host, {
        kind: MessageKind.LeaderHeartbeat,
        group: state.group,
        fence,
        isSettled: options.isSettled(),
      });
    }
    sendDirectoryToDeputy(state);
  }

  /**
   * The deputy, the next rank, is the first to replace this leader. It must then reach all ranks at
   * once, and cannot wait until entries learn of it and send it their addresses.
   */
  function sendDirectoryToDeputy({ group, rank }: RankState): void {
    if (now() - directoryAt < DIRECTORY_INTERVAL_MILLISECONDS) return;
    const deputy = ranks.get(rank + 1) ?? ranks.get(0);
    if (deputy === undefined || deputy.rank === rank) return;
    directoryAt = now();
    const listed = [...ranks.values()];
    send(deputy.host, {
      kind: MessageKind.ZoneSummary,
      group,
      ranks: listed,
      growth: undefined,
    });
  }

  /** The own zone's primary, or another zone's if the own zone has none. */
  function findPrimary(): Listener | undefined {
    let found: Listener | undefined;
    for (const listener of activeListeners()) {
      if (!listener.isPrimary) continue;
      if (listener.name.availabilityZone === self.availabilityZone) return listener;
      found ??= listener;
    }
    return found;
  }

  function handleSummary(
    from: InstanceName,
    { group, ranks: listed, growth }: Extract<FleetMessage, { kind: MessageKind.ZoneSummary }>,
  ): void {
    if (group !== options.state()?.group) return;
    for (const rank of listed) {
      ranks.set(rank.rank, rank);
      if (from.role === InstanceRole.Entry) entryHostByRank.set(rank.rank, from.host);
    }
    if (growth !== undefined && options.fence() !== undefined) options.onGrowth(growth);
  }

  return {
    receive(from, message) {
      switch (message.kind) {
        case MessageKind.Announcement: {
          const { wantsEveryReport, isPrimary } = message;
          const isNew = !listeners.has(from.instanceId);
          const listener = { name: from, wantsEveryReport, isPrimary, announcedAt: now() };
          listeners.set(from.instanceId, listener);
          options.onProfiles(message.profiles);
          if (isNew) report(listener);
          return;
        }
        case MessageKind.ZoneSummary:
          handleSummary(from, message);
          return;
        case MessageKind.LeaderHeartbeat:
          if (message.group !== options.state()?.group) return;
          if (message.fence >= highestFence) {
            highestFence = message.fence;
            leaderHost = from.host;
          }
          options.onLeader(message.fence, message.isSettled);
          return;
        case MessageKind.Growth:
          if (message.group === options.state()?.group) options.onGrowth(message.growth);
          return;
        case MessageKind.ReportQuestion:
          options.onQuestion(from, message.question);
          return;
        case MessageKind.ReportAnswer:
          options.onAnswer(message.question, message.report);
          return;
        case MessageKind.Hello:
        case MessageKind.Roster:
        case MessageKind.Digest:
        case MessageKind.Crashes:
        case MessageKind.RankState:
          // Meant for entries; may still arrive at an address that an entry used before.
          return;
        default: {
          const unreachable: never = message;
          throw new Error(String(unreachable));
        }
      }
    },
    tick() {
      requestListeners();
      sendDueReports();
      sendHeartbeats();
      const { entryReportMilliseconds: beat, areCountsRelayed: isGrowthRelayed } = options.pace();
      return isGrowthRelayed && options.fence() === undefined ? beat : TICK_INTERVAL_MILLISECONDS;
    },
    reportNow() {
      for (const listener of activeListeners()) report(listener);
    },
    sendGrowth(growth) {
      const state = options.state();
      if (state === undefined) return;
      if (!options.pace().areCountsRelayed) {
        if (leaderHost === undefined || !state.isOpen) return;
        send(leaderHost, { kind: MessageKind.Growth, group: state.group, growth });
        return;
      }
      const primary = findPrimary();
      if (primary !== undefined) report(primary, growth);
    },
    requestReport: (host, question) => send(host, { kind: MessageKind.ReportQuestion, question }),
    answerReportRequest: (host, question, fresh) =>
      send(host, { kind: MessageKind.ReportAnswer, question, report: fresh }),
    targets() {
      const targets = new Map<number, RankTarget>();
      const { areCountsRelayed: isGrowthRelayed } = options.pace();
      for (const { rank, host, backendServerPort } of ranks.values()) {
        const entryHost = isGrowthRelayed ? entryHostByRank.get(rank) : undefined;
        targets.set(rank, {
          sidecar: { host, port: options.sidecarPort },
          backendServer: { host, port: backendServerPort },
          entry:
            entryHost === undefined ? undefined : { host: entryHost, port: options.sidecarPort },
        });
      }
      return targets;
    },
    ranks: () => ranks,
  };
}
