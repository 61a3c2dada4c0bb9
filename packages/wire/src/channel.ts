/**
 * A channel: one TCP connection between two of the system's processes, with frames and
 * heartbeats in both directions.
 */
import type { Socket } from 'node:net';

import { createFrameReader, encodeFrame } from './frames.js';
import type { Heartbeat, Message } from './messages.js';
import { MessageKind } from './messages.js';

export const HEARTBEAT_MILLISECONDS = 500;
export const SILENCE_MILLISECONDS = 1500;
/** Most channels of a large fleet carry no request at a given time; they beat this much less often. */
export const IDLE_FACTOR = 5;

export enum CloseReason {
  Ended = 'ended',
  Silent = 'silent',
  BadFrame = 'badFrame',
  Local = 'local',
}

export interface Channel {
  readonly closed: boolean;
  send(message: Message): void;
  /** Beats now instead of at the next turn, because its content has changed. */
  beat(): void;
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
  readonly heartbeatMilliseconds?: number;
  readonly silenceMilliseconds?: number;
}

interface SilenceWatch {
  heard(): void;
  stop(): void;
}

/** `allowed` tells the silence that is allowed now; it is asked at each turn. */
function watchSilence(
  turnMilliseconds: number,
  allowed: () => number,
  onSilent: () => void,
): SilenceWatch {
  let lastHeard = performance.now();
  let lastTurn = lastHeard;
  const timer = setInterval(() => {
    const now = performance.now();
    // When this process itself was paused, the peer's frames wait unread in the socket. Judging
    // silence from the pause would close every connection at once; so a late turn only re-arms.
    const paused = now - lastTurn > turnMilliseconds * 2;
    lastTurn = now;
    if (paused) lastHeard = now;
    else if (now - lastHeard > allowed()) onSilent();
  }, turnMilliseconds);
  return {
    heard() {
      lastHeard = performance.now();
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
  const state = { reason: CloseReason.Ended };
  const heartbeatMilliseconds = options.heartbeatMilliseconds ?? HEARTBEAT_MILLISECONDS;
  const silenceMilliseconds = options.silenceMilliseconds ?? SILENCE_MILLISECONDS;
  let requests = 0;
  let turnsSinceBeat = 0;
  let sentSinceTurn = false;

  const channel: Channel = {
    get closed() {
      return closed;
    },
    send(message) {
      if (closed) return;
      sentSinceTurn = true;
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
    beat() {
      turnsSinceBeat = 0;
      channel.send({ kind: MessageKind.Heartbeat, ...handlers.heartbeat() });
    },
    acquire() {
      // From an idle peer nothing may have come for a while: its fast beats begin only now.
      if (requests === 0) silence.heard();
      requests += 1;
    },
    release() {
      requests = Math.max(0, requests - 1);
    },
    close() {
      end(CloseReason.Local);
    },
  };

  const allowedSilence = (): number =>
    requests > 0 ? silenceMilliseconds : silenceMilliseconds * IDLE_FACTOR;
  const silence = watchSilence(silenceMilliseconds / 3, allowedSilence, () =>
    end(CloseReason.Silent),
  );
  const beat = setInterval(() => {
    turnsSinceBeat += 1;
    // Whatever else was sent proves the connection as well as a beat does.
    const quiet = requests > 0 && !sentSinceTurn;
    if (quiet || turnsSinceBeat >= IDLE_FACTOR) channel.beat();
    sentSinceTurn = false;
  }, heartbeatMilliseconds);

  function finish(): void {
    if (closed) return;
    closed = true;
    clearInterval(beat);
    silence.stop();
    handlers.onClose(state.reason, channel);
  }

  function end(reason: CloseReason): void {
    state.reason = reason;
    if (reason === CloseReason.Local) {
      socket.end();
      setTimeout(() => socket.destroy(), HEARTBEAT_MILLISECONDS).unref();
    } else {
      socket.destroy();
    }
    finish();
  }

  socket.setNoDelay(true);
  socket.on('data', (bytes: Buffer) => {
    silence.heard();
    try {
      for (const message of reader.push(bytes)) {
        if (closed) return;
        handlers.onMessage(message, channel);
      }
    } catch (thrown) {
      if (!(thrown instanceof RangeError)) throw thrown;
      end(CloseReason.BadFrame);
    }
  });
  socket.on('error', () => finish());
  socket.on('close', () => finish());
  return channel;
}
