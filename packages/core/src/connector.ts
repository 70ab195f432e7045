import {Socket} from 'node:net';
import {buildConnector, errors} from 'undici';
import {boundReads} from './bound-reads.js';
import {resetUnanswered} from './reset-unanswered.js';
import {verifyEnds} from './verify-ends.js';

/**
 * Creates an Undici connector whose connections parse answers in small parts, tell a reset from the
 * end of an answer, and drop requests that are given up. `timeoutMs` bounds the time until a
 * connection is established.
 */
export function createConnector(timeoutMs?: number): buildConnector.connector {
  const connect = buildConnector({
    // Undici's own timer is late by up to a second.
    ...(timeoutMs === undefined ? {} : {timeout: 0}),
    allowHalfOpen: true,
  });
  return (options, callback) => {
    const expire = () => {
      const address = `${options.hostname}:${options.port}`;
      const detail = `no connection to ${address} within ${timeoutMs} ms`;
      socket.destroy(new errors.ConnectTimeoutError(detail));
    };
    const timer = timeoutMs === undefined ? undefined : setTimeout(expire, timeoutMs);
    // The types don't show that the socket is returned.
    const socket = connect(options, (...args) => {
      clearTimeout(timer);
      const [error, connected] = args;
      if (error) callback(error, null);
      else callback(null, verifyEnds(boundReads(resetUnanswered(connected))));
    }) as unknown as Socket;
  };
}
