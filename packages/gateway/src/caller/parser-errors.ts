import {STATUS_CODES} from 'node:http';
import {Duplex} from 'node:stream';
import {formatError} from './errors.js';

interface ParserErrorKind {
  readonly statusCode: number;
  readonly code: string;
  readonly message: string;
}

/** Responses to Node's HTTP parser errors and timeouts, by code; others are malformed requests. */
export const PARSER_ERROR_KINDS: Readonly<Record<string, ParserErrorKind>> = {
  HPE_HEADER_OVERFLOW: {
    statusCode: 431,
    code: 'request_too_large',
    message: 'request headers are too large',
  },
  HPE_CHUNK_EXTENSIONS_OVERFLOW: {
    statusCode: 413,
    code: 'request_too_large',
    message: 'chunk extensions are too large',
  },
  ERR_HTTP_REQUEST_TIMEOUT: {
    statusCode: 408,
    code: 'request_timeout',
    message: 'the request was not received in time',
  },
};

/** Responds to a request that could not be parsed and closes the connection. */
export function sendParserError(error: Error, socket: Duplex): void {
  const {code = '', reason} = error as {code?: string; reason?: string};
  if (code === 'ECONNRESET' || !socket.writable) {
    socket.destroy();
    return;
  }
  const kind = PARSER_ERROR_KINDS[code] ?? {
    statusCode: 400,
    code: 'malformed_request',
    message: `not a valid HTTP request: ${reason ?? code}`,
  };
  writeRawError(socket, kind);
}

/** Responds to a `CONNECT` request, for which Node.js provides only the socket. */
export function refuseConnect(socket: Duplex): void {
  writeRawError(socket, {
    statusCode: 405,
    code: 'method_not_allowed',
    message: 'method CONNECT is not served',
  });
}

/** Writes an error response to a socket. The request was never forwarded, so it wasn't run. */
function writeRawError(socket: Duplex, kind: ParserErrorKind): void {
  const body = formatError({
    message: kind.message,
    type: 'invalid_request_error',
    code: kind.code,
    execution: 'not_run',
    requestId: null,
  });
  const head = [
    `HTTP/1.1 ${kind.statusCode} ${STATUS_CODES[kind.statusCode]}`,
    'content-type: application/json',
    `content-length: ${Buffer.byteLength(body)}`,
    'x-radishgw-execution: not_run',
    'connection: close',
  ];
  socket.end(`${head.join('\r\n')}\r\n\r\n${body}`, () => socket.destroy());
}
