import {Socket} from 'node:net';

/**
 * Bytes that an HTTP parser gets at a time. Undici reports each header field beyond its limit as an
 * error of its own until it has parsed all bytes that it got.
 */
const MAX_READ_BYTES = 4096;

/** Makes a socket's `read()` return few bytes at a time, and none once it is destroyed. */
export function boundReads(socket: Socket): Socket {
  const read = socket.read.bind(socket);
  socket.read = size => {
    if (socket.destroyed) return null;
    return read(size ?? (Math.min(socket.readableLength, MAX_READ_BYTES) || undefined)) as unknown;
  };
  return socket;
}
