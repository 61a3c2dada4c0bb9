/**
 * Opens a TCP connection to a peer. A connection attempt without a response is aborted early: if
 * the peer's host is unreachable, the operating system would wait for minutes.
 */
import { connect } from 'node:net';
import type { Socket } from 'node:net';

export const CONNECT_TIMEOUT_MILLISECONDS = 1000;

/** Resolves to the connected socket. Rejects on a socket error or after the timeout. */
export function dial(
  host: string,
  port: number,
  timeoutMilliseconds = CONNECT_TIMEOUT_MILLISECONDS,
): Promise<Socket> {
  return new Promise((resolve, reject) => {
    const socket = connect({ host, port });
    const timer = setTimeout(() => {
      socket.destroy();
      reject(new Error(`connection to ${host}:${port} timed out after ${timeoutMilliseconds} ms`));
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
