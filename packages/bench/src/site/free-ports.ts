/**
 * Finds free ports below the range from which the operating system serves outgoing
 * connections, so that a port found free stays free until its process binds it.
 */
import { createSocket } from 'node:dgram';
import { createServer } from 'node:net';

const FIRST_PORT = 15_000;
const LAST_PORT = 31_000;
const HOST = '127.0.0.1';

function tcpIsFree(port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const server = createServer();
    server.once('error', () => resolve(false));
    server.listen(port, HOST, () => server.close(() => resolve(true)));
  });
}

function udpIsFree(port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const socket = createSocket('udp4');
    socket.once('error', () => resolve(false));
    socket.bind(port, HOST, () => socket.close(() => resolve(true)));
  });
}

export interface PortFinder {
  next(): Promise<number>;
}

export function createPortFinder(): PortFinder {
  let port = FIRST_PORT + Math.floor(Math.random() * (LAST_PORT - FIRST_PORT));
  return {
    async next() {
      for (;;) {
        port = port >= LAST_PORT ? FIRST_PORT : port + 1;
        if ((await tcpIsFree(port)) && (await udpIsFree(port))) return port;
      }
    },
  };
}
