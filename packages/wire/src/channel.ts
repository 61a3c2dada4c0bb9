/**
 * A channel: one TCP connection between two of the system's processes, with frames and
 * heartbeats in both directions.
 */
import type { Socket } from 'node:net';

import { createFrameReader, encodeFrame } from './frames.js';
import type { Heartbeat, Message } from './messages.js';
import { MessageKind } from './messages.js';

export const HEARTBEAT_INTERVAL_MILLISECONDS = 500;
export const SILENCE_TIMEOUT_MILLISECONDS = 1500;
/** Most channels of a large fleet carry no request at a given time; they beat this much less often. */
export const IDLE_INTERVAL_FACTOR = 5;

export enum CloseReason {
  Disconnected = 'ended',
  PeerSilent = 'silent',
  InvalidFrame = 'badFrame',
  ClosedLocally = 'local',
}

export interface Channel {
  readonly closed: boolean;
  send(message: Message): void;
  /** Beats now instead of at the next turn, because its content has changed. */
  sendHeartbeat(): void;
  /** Counts a request in: while any is in progress, silence is noticed fast. */
  acquire(): void;
  release(): void;
  close(): void;
}

export interface ChannelHandlers {
  onMessage(message: Message, channel: Channel): void;
  onClose(reason: CloseReason, channel: Channel): void;
  /** Content of the next heartbeat. */
  heartbeat(): Omit<Heartbeat, 'kind'>;
}

export interface ChannelOptions {
  readonly heartbeatIntervalMilliseconds?: number;
  readonly silenceTimeoutMilliseconds?: number;
}

interface SilenceMonitor {
  recordActivity(): void;
  stop(): void;
}

/** `allowed` tells the silence that is allowed now; it is asked at each turn. */
function monitorSilence(
  checkIntervalMilliseconds: number,
  silenceLimitMilliseconds: () => number,
  onSilent: () => void,
): SilenceMonitor {
  let lastActivity = performance.now();
  let lastCheck = lastActivity;
  const timer = setInterval(() => {
    const now = performance.now();
    // When this process itself was paused, the peer's frames wait unread in the socket. Judging
    // silence from the pause would close every connection at once; so a late turn only re-arms.
    const paused = now - lastCheck > checkIntervalMilliseconds * 2;
    lastCheck = now;
    if (paused) lastActivity = now;
    else if (now - lastActivity > silenceLimitMilliseconds()) onSilent();
  }, checkIntervalMilliseconds);
  return {
    recordActivity() {
      lastActivity = performance.now();
    },
    stop() {
      clearInterval(timer);
    },
  };
}

/**
 * Takes a connected socket. A path between two ends can lose track of a connection, which
 * then stays silent for good although new ones work; TCP alone notices after minutes.
 * Heartbeats notice within the silence time and close it, and the owner dials a new one.
 */
export function openChannel(
  socket: Socket,
  handlers: ChannelHandlers,
  options: ChannelOptions = {},
): Channel {
  const reader = createFrameReader();
  let closed = false;
  let corked = false;
  const state = { reason: CloseReason.Disconnected };
  const heartbeatIntervalMilliseconds =
    options.heartbeatIntervalMilliseconds ?? HEARTBEAT_INTERVAL_MILLISECONDS;
  const silenceTimeoutMilliseconds =
    options.silenceTimeoutMilliseconds ?? SILENCE_TIMEOUT_MILLISECONDS;
  let requests = 0;
  let intervalsSinceHeartbeat = 0;
  let sentInInterval = false;

  const channel: Channel = {
    get closed() {
      return closed;
    },
    send(message) {
      if (closed) return;
      sentInInterval = true;
      if (!corked) {
        corked = true;
        socket.cork();
        process.nextTick(() => {
          corked = false;
          socket.uncork();
        });
      }
      socket.write(encodeFrame(message));
    },
    sendHeartbeat() {
      intervalsSinceHeartbeat = 0;
      channel.send({ kind: MessageKind.Heartbeat, ...handlers.heartbeat() });
    },
    acquire() {
      // From an idle peer nothing may have come for a while: its fast beats begin only now.
      if (requests === 0) silenceMonitor.recordActivity();
      requests += 1;
    },
    release() {
      requests = Math.max(0, requests - 1);
    },
    close() {
      end(CloseReason.ClosedLocally);
    },
  };

  const silenceLimitMilliseconds = (): number =>
    requests > 0 ? silenceTimeoutMilliseconds : silenceTimeoutMilliseconds * IDLE_INTERVAL_FACTOR;
  const silenceMonitor = monitorSilence(
    silenceTimeoutMilliseconds / 3,
    silenceLimitMilliseconds,
    () => end(CloseReason.PeerSilent),
  );
  const heartbeatTimer = setInterval(() => {
    intervalsSinceHeartbeat += 1;
    // Whatever else was sent proves the connection as well as a beat does.
    const quiet = requests > 0 && !sentInInterval;
    if (quiet || intervalsSinceHeartbeat >= IDLE_INTERVAL_FACTOR) channel.sendHeartbeat();
    sentInInterval = false;
  }, heartbeatIntervalMilliseconds);

  function notifyClosed(): void {
    if (closed) return;
    closed = true;
    clearInterval(heartbeatTimer);
    silenceMonitor.stop();
    handlers.onClose(state.reason, channel);
  }

  function end(reason: CloseReason): void {
    state.reason = reason;
    if (reason === CloseReason.ClosedLocally) {
      socket.end();
      setTimeout(() => socket.destroy(), HEARTBEAT_INTERVAL_MILLISECONDS).unref();
    } else {
      socket.destroy();
    }
    notifyClosed();
  }

  socket.setNoDelay(true);
  socket.on('data', (bytes: Buffer) => {
    silenceMonitor.recordActivity();
    try {
      for (const message of reader.push(bytes)) {
        if (closed) return;
        handlers.onMessage(message, channel);
      }
    } catch (thrown) {
      if (!(thrown instanceof RangeError)) throw thrown;
      end(CloseReason.InvalidFrame);
    }
  });
  socket.on('error', () => notifyClosed());
  socket.on('close', () => notifyClosed());
  return channel;
}
