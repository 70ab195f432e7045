import {isIPv4} from 'node:net';

const MAX_PORT = 65_535;

/** Whether a text is an IPv4 address and a port that can be called, such as `10.0.0.1:80`. */
export function isSocketAddress(text: string): boolean {
  const [ip, port, ...rest] = text.split(':');
  if (rest.length > 0 || !isIPv4(ip) || !/^[1-9]\d{0,4}$/.test(port ?? '')) return false;
  return Number(port) <= MAX_PORT;
}
