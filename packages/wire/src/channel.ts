/**
 * A channel is a TCP connection between two of the system's processes that carries frames and
 * heartbeats in both directions.
 */
import type { Socket } from 'node:net';

import type { FrameBudget } from './frame-budget.js';
import { createFrameReader, encodeFrame } from './frames.js';
import type { Heartbeat, Message } from './messages.js';
import { MessageKind } from './messages.js';

export const HEARTBEAT_INTERVAL_MILLISECONDS = 500;
export const SILENCE_TIMEOUT_MILLISECONDS = 1500;
/**
 * Factor on the heartbeat interval and the silence timeout of a channel without requests. Most
 * channels of a large fleet have none at a given time, so this saves most of the heartbeats.
 */
export const IDLE_INTERVAL_FACTOR = 5;

export enum CloseReason {
  Disconnected = 'ended',
  PeerSilent = 'silent',
  InvalidFrame = 'badFrame',
  /** Incomplete frames of all channels held too much, and those of this one most. */
  BudgetExceeded = 'budgetExceeded',
  ClosedLocally = 'local',
}

export interface Channel {
  readonly closed: boolean;
  send(message: Message): void;
  /** Sends a heartbeat at once instead of at the next interval, because its content has changed. */
  sendHeartbeat(): void;
  /** Counts a request as in progress; while there are any, silence is detected faster. */
  acquire(): void;
  /** Ends a request that `acquire` counted. */
  release(): void;
  close(): void;
  /** Closes the connection at once and drops what was not sent. */
  abort(): void;
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
  /** Bounds incomplete frames; they are not bounded together without it. */
  readonly frameBudget?: FrameBudget;
}

interface SilenceMonitor {
  recordActivity(): void;
  stop(): void;
}

/** Calls `onSilent` when the limit is exceeded. The limit is read anew at each check. */
function monitorSilence(
  checkIntervalMilliseconds: number,
  silenceLimitMilliseconds: () => number,
  onSilent: () => void,
): SilenceMonitor {
  let lastActivity = performance.now();
  let lastCheck = lastActivity;
  const timer = setInterval(() => {
    const now = performance.now();
    // If this process itself was paused, the peer's frames are still unread in the socket. Counting
    // the pause as silence would close every connection, so a late check only resets the time.
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
 * Opens a channel on a connected socket. A network device can drop the state of a connection,
 * which then stays silent although new connections work; TCP alone detects this after minutes.
 * Missing heartbeats close it within the silence timeout, and the owner opens a new connection.
 */
export function openChannel(
  socket: Socket,
  handlers: ChannelHandlers,
  options: ChannelOptions = {},
): Channel {
  const reader = createFrameReader();
  const frameAccount = options.frameBudget?.open(() => end(CloseReason.BudgetExceeded));
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
      // An idle peer may not have sent anything for a while; its faster heartbeats begin only now.
      if (requests === 0) silenceMonitor.recordActivity();
      requests += 1;
    },
    release() {
      requests = Math.max(0, requests - 1);
    },
    close() {
      end(CloseReason.ClosedLocally);
    },
    abort() {
      end(CloseReason.BudgetExceeded);
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
    // Any other message shows that the connection works as well as a heartbeat does.
    const quiet = requests > 0 && !sentInInterval;
    if (quiet || intervalsSinceHeartbeat >= IDLE_INTERVAL_FACTOR) channel.sendHeartbeat();
    sentInInterval = false;
  }, heartbeatIntervalMilliseconds);

  function notifyClosed(): void {
    if (closed) return;
    closed = true;
    clearInterval(heartbeatTimer);
    silenceMonitor.stop();
    frameAccount?.close();
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
      const messages = reader.push(bytes);
      frameAccount?.update(reader.heldBytes());
      for (const message of messages) {
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
