/**
 * Addresses written as IP:PORT, with an IPv4 address.
 */
import { isIPv4 } from 'node:net';

export interface Address {
  readonly host: string;
  readonly port: number;
}

const MAXIMUM_PORT = 65_535;

/**
 * Undefined where the text is no such address. A leading zero is rejected, since name resolution
 * would read the number as octal.
 */
export function parseAddress(text: string): Address | undefined {
  const [, host = '', digits = ''] = /^([\d.]+):(\d{1,5})$/.exec(text) ?? [];
  const port = Number(digits);
  if (!isIPv4(host) || port < 1 || port > MAXIMUM_PORT) return undefined;
  return { host, port };
}
