/**
 * Stops and resumes reading the connection of a request. Pausing the request itself would not do:
 * what was read before stays queued as one buffer for each chunk, which takes many times its bytes.
 */
import { IncomingMessage } from 'node:http';

/** Method by which streams ask for data. */
const READ = '_read';

export interface ReadingSwitch {
  stop(): void;
  resume(): void;
}

export function createReadingSwitch(incoming: IncomingMessage): ReadingSwitch {
  const { socket } = incoming;
  let isStopped = false;
  let isInstalled = false;

  function install(): void {
    isInstalled = true;
    // A resume that was requested earlier may take effect only now, and starts reading.
    socket.on('resume', stopAgain);
    incoming.once('close', () => socket.off('resume', stopAgain));
    // Node.js resumes the connection of a request that wants more data.
    Object.defineProperty(incoming, READ, {
      value(size: number) {
        if (!isStopped) IncomingMessage.prototype[READ].call(incoming, size);
      },
    });
  }

  /** The socket counts as paused already, so that `pause` would do nothing. */
  function stopAgain(): void {
    if (isStopped) socket.emit('pause');
  }

  return {
    stop() {
      if (!isInstalled) install();
      isStopped = true;
      socket.pause();
    },
    resume() {
      if (!isStopped) return;
      isStopped = false;
      socket.resume();
    },
  };
}
