import {boundReads} from '@radishgw/core';
import {buildConnector} from 'undici';

/** Creates a connector to targets, whose answers are parsed in small parts. */
export function createBoundedConnector(timeoutMs?: number): buildConnector.connector {
  const connect = buildConnector(timeoutMs === undefined ? {} : {timeout: timeoutMs});
  return (options, callback) => {
    connect(options, (...args) => {
      const [error, socket] = args;
      if (error) callback(error, null);
      else callback(null, boundReads(socket));
    });
  };
}
