import {Socket} from 'node:net';
import {TLSSocket} from 'node:tls';

/** Open sockets whose requests may be unanswered. */
const sockets = new Set<Socket>();

/**
 * Makes a socket of a client, which carries one request at a time, reset its connection if it is
 * destroyed before anything of the answer to its latest request has arrived. The kernel goes on
 * sending the bytes of a connection that is only closed, so that a request that was given up would
 * still arrive when a broken link works again. A connection that its peer has ended is closed as usual.
 */
export function resetUnanswered(socket: Socket): Socket {
  // A reset beneath TLS would need the socket that it wraps.
  if (socket instanceof TLSSocket) return socket;
  let hasWritten = false;
  let readBeforeWriteBytes = 0;
  const write = socket.write.bind(socket) as (...args: unknown[]) => boolean;
  socket.write = (...args: unknown[]): boolean => {
    hasWritten = true;
    readBeforeWriteBytes = socket.bytesRead;
    return write(...args);
  };
  const isUnanswered = () => {
    if (!hasWritten || socket.readableEnded || socket.writableEnded) return false;
    return socket.bytesRead === readBeforeWriteBytes;
  };
  const destroy = socket._destroy.bind(socket);
  socket._destroy = (error, callback) => {
    sockets.delete(socket);
    // The socket counts as destroyed already, so that this only has the handle reset.
    if (isUnanswered()) socket.resetAndDestroy();
    destroy(error, callback);
  };
  sockets.add(socket);
  return socket;
}

/** Destroys all sockets of clients; for a process that ends, whose connections would be closed. */
export function destroyClientSockets(): void {
  for (const socket of [...sockets]) socket.destroy();
}
