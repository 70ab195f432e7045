import {Socket} from 'node:net';
import {ReadGate} from './read-gate.js';

/**
 * Bytes that an HTTP parser gets at a time. Undici reports each header field beyond its limit as an
 * error of its own until it has parsed all bytes that it got.
 */
const MAX_READ_BYTES = 4096;

/**
 * Makes a socket's `read()` return few bytes at a time, and none once it is destroyed or while `gate`
 * holds readers back.
 */
export function boundReads(socket: Socket, gate?: ReadGate): Socket {
  const read = socket.read.bind(socket);
  const wake = () => socket.emit('readable');
  socket.read = size => {
    if (socket.destroyed) return null;
    if (gate && socket.readableLength > 0 && !gate.mayRead(wake)) return null;
    return read(size ?? (Math.min(socket.readableLength, MAX_READ_BYTES) || undefined)) as unknown;
  };
  return socket;
}
