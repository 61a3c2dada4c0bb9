/**
 * Dials a peer by IP and port. A connect that gets no answer is given up early: the peer's
 * host may be cut off, and then the operating system would wait for minutes.
 */
import { connect } from 'node:net';
import type { Socket } from 'node:net';

export const CONNECT_TIMEOUT_MILLISECONDS = 1000;

export function dial(
  host: string,
  port: number,
  timeoutMilliseconds = CONNECT_TIMEOUT_MILLISECONDS,
): Promise<Socket> {
  return new Promise((resolve, reject) => {
    const socket = connect({ host, port });
    const timer = setTimeout(() => {
      socket.destroy();
      reject(new Error(`no connection to ${host}:${port} in ${timeoutMilliseconds} ms`));
    }, timeoutMilliseconds);
    socket.once('connect', () => {
      clearTimeout(timer);
      socket.removeAllListeners('error');
      resolve(socket);
    });
    socket.once('error', (error) => {
      clearTimeout(timer);
      reject(error);
    });
  });
}
