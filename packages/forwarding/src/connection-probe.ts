/**
 * Probes whether a backend server still accepts connections. A server that has ended refuses them
 * at once; a server behind a broken link, or on a stopped machine, does not answer at all.
 */
import { connect } from 'node:net';

export enum ProbeResult {
  Accepted = 'accepted',
  /** Nothing listens at the address: the server has ended. */
  Refused = 'refused',
  /** No answer in time, or another failure that says nothing about the server. */
  Inconclusive = 'inconclusive',
}

export interface ProbedAddress {
  readonly host: string;
  readonly port: number;
}

export type ConnectionProbe = (address: ProbedAddress) => Promise<ProbeResult>;

const TIMEOUT_MILLISECONDS = 300;

/** Opens a connection and closes it without sending anything. */
export const probeConnection: ConnectionProbe = ({ host, port }) =>
  new Promise((resolve) => {
    const socket = connect({ host, port, timeout: TIMEOUT_MILLISECONDS });
    const finish = (result: ProbeResult): void => {
      socket.destroy();
      resolve(result);
    };
    socket.once('connect', () => finish(ProbeResult.Accepted));
    socket.once('timeout', () => finish(ProbeResult.Inconclusive));
    socket.once('error', (error: NodeJS.ErrnoException) =>
      finish(error.code === 'ECONNREFUSED' ? ProbeResult.Refused : ProbeResult.Inconclusive),
    );
  });
