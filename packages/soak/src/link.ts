/**
 * A loopback proxy in front of one server, which delays, resets, silences, holds or cuts one way
 * the connections that pass it.
 */
import { connect, createServer } from 'node:net';
import type { Server, Socket } from 'node:net';

export enum LinkMode {
  Passing = 'passing',
  Delayed = 'delayed',
  /** Resets what is open, and whatever is opened. */
  Resetting = 'resetting',
  /** Swallows all bytes both ways; connections stay open. */
  Silent = 'silent',
  /** Requests arrive, answers do not. */
  OneWay = 'oneWay',
  /** Connections are taken, and what comes on them lies unread: the server's process has stopped. */
  Held = 'held',
  /** The server's process has ended: connections are closed, and new ones refused. */
  Refusing = 'refusing',
}

export interface Link {
  readonly server: Server;
  setMode(mode: LinkMode): void;
}

const DELAY_MILLISECONDS = 150;

export function createLink(target: { readonly host: string; readonly port: number }): Link {
  let mode = LinkMode.Passing;
  const open = new Set<Socket>();
  /** In order of arrival, over all connections. */
  let held: (() => void)[] = [];

  function pass(action: () => void): void {
    if (mode === LinkMode.Held) held.push(action);
    else action();
  }

  function pipe(from: Socket, to: Socket, isAnswer: boolean): void {
    let hasSwallowed = false;
    const takeData = (chunk: Buffer): void => {
      if (mode === LinkMode.Silent || (isAnswer && mode === LinkMode.OneWay)) {
        hasSwallowed = true;
        return;
      }
      const forward = (): void => {
        if (!to.destroyed) to.write(chunk);
      };
      if (mode === LinkMode.Delayed) setTimeout(forward, DELAY_MILLISECONDS);
      else forward();
    };
    const takeEnd = (): void => {
      // The end of a connection does not overtake bytes that were lost on it.
      if (hasSwallowed) return;
      if (isAnswer && !from.writableEnded && mode !== LinkMode.Delayed) {
        // A reset that arrives together with data reads like an end; only a write still fails.
        from.write('\r\n', (error) => {
          if (error === null || error === undefined) to.end();
          else to.resetAndDestroy();
        });
        return;
      }
      if (mode === LinkMode.Delayed) setTimeout(() => to.end(), DELAY_MILLISECONDS);
      else to.end();
    };
    from.on('data', (chunk: Buffer) => pass(() => takeData(chunk)));
    from.on('end', () => pass(takeEnd));
    from.on('close', (hadError) => {
      open.delete(from);
      pass(() => {
        if (hadError && !to.destroyed) to.resetAndDestroy();
      });
    });
    // Told by 'close', which follows.
    from.on('error', () => undefined);
  }

  const server = createServer({ allowHalfOpen: true }, (caller) => {
    if (mode === LinkMode.Resetting) {
      caller.on('error', () => undefined);
      caller.resetAndDestroy();
      return;
    }
    const onward = connect({ ...target, allowHalfOpen: true });
    open.add(caller);
    open.add(onward);
    pipe(caller, onward, false);
    pipe(onward, caller, true);
  });
  let address = { host: '', port: 0 };

  function stopListening(): void {
    if (mode === LinkMode.Refusing) return;
    const bound = server.address();
    if (bound !== null && typeof bound !== 'string') {
      address = { host: bound.address, port: bound.port };
    }
    server.close();
    for (const socket of open) socket.destroy();
  }

  return {
    server,
    setMode(next) {
      if (next === LinkMode.Refusing) stopListening();
      else if (mode === LinkMode.Refusing) server.listen(address);
      mode = next;
      if (next !== LinkMode.Held) {
        const released = held;
        held = [];
        for (const action of released) action();
      }
      if (next !== LinkMode.Resetting) return;
      for (const socket of open) socket.resetAndDestroy();
    },
  };
}
