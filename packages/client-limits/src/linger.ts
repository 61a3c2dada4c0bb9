/**
 * Closes a connection after a response that its client may not expect yet. Closing while the client
 * still sends resets the connection, and the response may be lost with it; so only the sending side
 * is closed, and what still arrives is discarded for a short time.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';

export interface Lingering {
  /** Closes the connection once the response has left. Must be called before the response ends. */
  closeAfter(incoming: IncomingMessage, response: ServerResponse): void;
}

const LINGER_MILLISECONDS = 1000;
const LINGER_BYTES = 1024 * 1024;
const CHECK_INTERVAL_MILLISECONDS = 100;
/** Connections that linger at a time; others are closed at once. */
const MAXIMUM_LINGERING = 32;

export function createLingering(): Lingering {
  let lingering = 0;

  return {
    closeAfter(incoming, response) {
      response.shouldKeepAlive = false;
      if (incoming.complete || lingering >= MAXIMUM_LINGERING) return;
      const { socket } = incoming;
      lingering += 1;
      socket.once('close', () => {
        lingering -= 1;
      });
      // Node.js calls this after the last response of a connection.
      socket.destroySoon = () => {
        socket.end();
        const endsAt = performance.now() + LINGER_MILLISECONDS;
        const lastByte = socket.bytesRead + LINGER_BYTES;
        const timer = setInterval(() => {
          const isOver = performance.now() >= endsAt || socket.bytesRead >= lastByte;
          if (isOver || incoming.complete) socket.destroy();
        }, CHECK_INTERVAL_MILLISECONDS);
        socket.once('close', () => clearInterval(timer));
      };
    },
  };
}
