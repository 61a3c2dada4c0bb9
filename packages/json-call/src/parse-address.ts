/**
 * Addresses written as IP:PORT.
 */
export interface Address {
  readonly host: string;
  readonly port: number;
}

/** Undefined where the text is no such address. */
export function parseAddress(text: string): Address | undefined {
  const match = /^(\d{1,3}(?:\.\d{1,3}){3}):(\d{1,5})$/.exec(text);
  const [, host, port] = match ?? [];
  return host === undefined ? undefined : { host, port: Number(port) };
}
