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

export enum CloseReason {
  Ended = 'ended',
  Silent = 'silent',
  BadFrame = 'badFrame',
  Local = 'local',
}

export interface Channel {
  readonly closed: boolean;
  send(message: Message): void;
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

function watchSilence(
  silenceMilliseconds: number,
  onSilent: () => void,
): { heard(): void; stop(): void } {
  let lastHeard = performance.now();
  let lastTick = lastHeard;
  const period = silenceMilliseconds / 3;
  const timer = setInterval(() => {
    const now = performance.now();
    // When this process itself was paused, the peer's frames wait unread in the socket. Judging
    // silence from the pause would close every connection at once; so a late tick only re-arms.
    const paused = now - lastTick > period * 2;
    lastTick = now;
    if (paused) {
      lastHeard = now;
      return;
    }
    if (now - lastHeard > silenceMilliseconds) onSilent();
  }, period);
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

  const channel: Channel = {
    get closed() {
      return closed;
    },
    send(message) {
      if (closed) return;
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
    close() {
      end(CloseReason.Local);
    },
  };

  const silence = watchSilence(options.silenceMilliseconds ?? SILENCE_MILLISECONDS, () =>
    end(CloseReason.Silent),
  );
  const beat = setInterval(() => {
    channel.send({ kind: MessageKind.Heartbeat, ...handlers.heartbeat() });
  }, options.heartbeatMilliseconds ?? HEARTBEAT_MILLISECONDS);

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
