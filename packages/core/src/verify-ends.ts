import {Socket} from 'node:net';

/** A connection was reset. Undici takes an error with the code ECONNRESET for the end of a body. */
export class ConnectionResetError extends Error {
  readonly code = 'CONNECTION_RESET';

  constructor(cause: unknown) {
    super('connection reset', {cause});
  }
}

/** An empty line, which servers ignore before a request. */
const PROBE = '\r\n';

/**
 * Makes a socket report an end only if its peer closed it, so that an answer that ends with its
 * connection is whole. Libuv reports a reset that arrives with the last bytes as an end; only a
 * write reveals it. The socket must allow half-open connections. `isNeeded` says whether the next
 * end can be that of an answer.
 */
export function verifyEnds(socket: Socket, isNeeded: () => boolean = () => true): Socket {
  const emit = socket.emit.bind(socket) as (event: string | symbol, ...args: unknown[]) => boolean;
  socket.emit = (event: string | symbol, ...args: unknown[]): boolean => {
    if (event === 'error') return emit(event, hideReset(args[0] as Error));
    if (event !== 'end' || socket.destroyed || !isNeeded()) return emit(event, ...args);
    // An `error` event follows if the write fails.
    socket.write(PROBE, error => error || emit('end'));
    return true;
  };
  return socket;
}

function hideReset(error: NodeJS.ErrnoException): Error {
  return error.code === 'ECONNRESET' || error.code === 'EPIPE'
    ? new ConnectionResetError(error)
    : error;
}
