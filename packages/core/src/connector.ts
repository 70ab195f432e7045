import {buildConnector} from 'undici';
import {boundReads} from './bound-reads.js';
import {verifyEnds} from './verify-ends.js';

/**
 * Creates an Undici connector whose connections parse answers in small parts and tell a reset from
 * the end of an answer. `timeoutMs` bounds the time until a connection is established.
 */
export function createConnector(timeoutMs?: number): buildConnector.connector {
  const connect = buildConnector({
    ...(timeoutMs === undefined ? {} : {timeout: timeoutMs}),
    allowHalfOpen: true,
  });
  return (options, callback) => {
    connect(options, (...args) => {
      const [error, socket] = args;
      if (error) callback(error, null);
      else callback(null, verifyEnds(boundReads(socket)));
    });
  };
}
