/**
 * Stops an HTTP server without truncating responses. `closeIdleConnections` of Node.js, which
 * `server.close()` calls too, counts a connection as idle once `end()` was called on its response,
 * and then discards what the caller has not read yet; here a connection is idle only when its last
 * response has left the process.
 */
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { Server as NetServer } from 'node:net';
import type { Socket } from 'node:net';
import { Server as TransportSecurityServer } from 'node:tls';

/** An open connection of a server. */
export interface TrackedConnection {
  readonly socket: Socket;
  /** Requests whose responses have not left yet. */
  readonly openResponses: number;
  /** Bytes received after the last complete request, of a head that is not complete. */
  readonly headBytes: number;
  readonly hasCompletedRequest: boolean;
  /** Since the last response left, or the connection was opened. */
  readonly idleMilliseconds: number;
}

export interface ConnectionDrain {
  /**
   * Closes each connection that has no request in flight, no unsent bytes and no partially received
   * request, and has not had any for the time. Connections that become idle later stay open until
   * the next call.
   */
  closeIdle(minimumIdleMilliseconds?: number): void;
  /**
   * Stops accepting connections and leaves the open ones as they are; resolves when the last one is
   * closed.
   */
  stopListening(): Promise<void>;
  /** Number of open connections. */
  openCount(): number;
  /** Number of connections accepted so far. */
  acceptedCount(): number;
  connections(): Iterable<TrackedConnection>;
  /** Number of requests of the connection whose responses have not left yet. */
  openResponses(socket: Socket): number;
}

interface ConnectionState {
  /** Responses that have not been flushed or dropped yet. */
  readonly openResponses: Set<ServerResponse>;
  isReceivingRequest: boolean;
  /** `bytesRead` of the socket when its last request was complete: more means a further request. */
  bytesOfCompleteRequests: number;
  hasCompletedRequest: boolean;
  /** When the last response left, or the connection was opened. */
  idleSince: number;
}

/** Must be called before the server accepts its first connection. */
export function createConnectionDrain(server: Server): ConnectionDrain {
  const connections = new Map<Socket, ConnectionState>();
  let accepted = 0;

  function track(socket: Socket): void {
    accepted += 1;
    const state: ConnectionState = {
      openResponses: new Set(),
      isReceivingRequest: false,
      bytesOfCompleteRequests: 0,
      hasCompletedRequest: false,
      idleSince: performance.now(),
    };
    connections.set(socket, state);
    socket.once('close', () => {
      connections.delete(socket);
      // Node.js tells only the response that is being sent, and not those that wait for it.
      for (const response of state.openResponses) {
        if (response.socket !== null) continue;
        response.destroy();
        response.emit('close');
      }
    });
  }

  function onRequest(incoming: IncomingMessage, response: ServerResponse): void {
    const { socket } = incoming;
    const connection = connections.get(socket);
    if (connection === undefined) return;
    const onComplete = (): void => {
      connection.isReceivingRequest = false;
      connection.hasCompletedRequest = true;
      connection.bytesOfCompleteRequests = socket.bytesRead;
    };
    connection.openResponses.add(response);
    connection.isReceivingRequest = true;
    incoming.once('end', onComplete);
    response.once('close', () => {
      connection.openResponses.delete(response);
      connection.idleSince = performance.now();
      // The body of a request may stay unread although all of it was received.
      if (connection.isReceivingRequest && incoming.complete) onComplete();
    });
  }

  function isIdle(socket: Socket, connection: ConnectionState): boolean {
    return (
      connection.openResponses.size === 0 &&
      !connection.isReceivingRequest &&
      socket.bytesRead === connection.bytesOfCompleteRequests &&
      socket.writableLength === 0
    );
  }

  server.on(server instanceof TransportSecurityServer ? 'secureConnection' : 'connection', track);
  server.prependListener('request', onRequest);

  return {
    closeIdle(minimumIdleMilliseconds = 0) {
      const latest = performance.now() - minimumIdleMilliseconds;
      for (const [socket, connection] of connections) {
        if (connection.idleSince > latest) continue;
        // A half-closed connection would still deliver requests, which could not be answered.
        if (isIdle(socket, connection)) socket.destroy();
      }
    },
    stopListening() {
      return new Promise((resolve) => {
        // `close` of an HTTP server calls `closeIdleConnections`.
        NetServer.prototype.close.call(server, () => resolve());
      });
    },
    openCount: () => connections.size,
    acceptedCount: () => accepted,
    *connections() {
      const now = performance.now();
      for (const [socket, connection] of connections) {
        const { openResponses, isReceivingRequest, bytesOfCompleteRequests } = connection;
        yield {
          socket,
          openResponses: openResponses.size,
          headBytes: isReceivingRequest ? 0 : socket.bytesRead - bytesOfCompleteRequests,
          hasCompletedRequest: connection.hasCompletedRequest,
          idleMilliseconds: now - connection.idleSince,
        };
      }
    },
    openResponses: (socket) => connections.get(socket)?.openResponses.size ?? 0,
  };
}
