/** Header fields of a request, by lower-case name. */
export type RequestFields = Readonly<Record<string, string>>;

/** Returns a receiver of bytes that reports each request with a length or no body. */
export function splitRequests(onRequest: (fields: RequestFields) => void): (data: Buffer) => void {
  let received = '';
  return data => {
    received += data.toString('latin1');
    for (;;) {
      const end = received.indexOf('\r\n\r\n');
      if (end < 0) return;
      const fields = parseFields(received.slice(0, end));
      const length = end + 4 + Number(fields['content-length'] ?? 0);
      if (received.length < length) return;
      received = received.slice(length);
      onRequest(fields);
    }
  };
}

export function parseFields(head: string): RequestFields {
  const lines = head.split('\r\n').slice(1);
  return Object.fromEntries(
    lines.map(line => {
      const colon = line.indexOf(':');
      return [line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim()];
    }),
  );
}
