/**
 * Addresses written as IP:PORT, with an IPv4 address.
 */
import { isIPv4 } from 'node:net';

export interface Address {
  readonly host: string;
  readonly port: number;
}

/** Ports that a server can listen at, both bounds included. */
export const PORTS = { minimum: 1, maximum: 65_535 } as const;

/**
 * Undefined where the text is no such address. A leading zero is rejected, since name resolution
 * would read the number as octal.
 */
export function parseAddress(text: string): Address | undefined {
  const [, host = '', digits = ''] = /^([\d.]+):(\d{1,5})$/.exec(text) ?? [];
  const port = Number(digits);
  if (!isIPv4(host) || port < PORTS.minimum || port > PORTS.maximum) return undefined;
  return { host, port };
}
