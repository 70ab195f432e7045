import {once} from 'node:events';
import {connect} from 'node:net';
import {
  Deployment,
  EngineRecord,
  FaultProxy,
  HostHandle,
  ServiceExecution,
  startFaultProxy,
  waitUntil,
} from '@radishgw/testkit';

/** Error object of a response to a caller. */
export interface CallerError {
  readonly code: string;
  readonly execution: 'not_run' | 'unknown';
  readonly message: string;
  readonly request_id: string | null;
}

/** Outcome of a chat request, streaming or not. */
export interface ChatOutcome {
  readonly statusCode: number;
  readonly text: string;
  /** Whether the response is complete; a stream must have ended with `[DONE]`. */
  readonly whole: boolean;
  readonly error?: CallerError;
  readonly usage?: {prompt_tokens: number; completion_tokens: number};
  readonly ids: ReadonlySet<string>;
}

/** Options of {@link chat}. */
export interface ChatOptions {
  readonly marker: string;
  readonly tokens: number;
  readonly stream?: boolean;
  readonly fields?: object;
  readonly headers?: Record<string, string>;
  readonly signal?: AbortSignal;
  /** Called with the number of content chunks received so far. */
  readonly onChunk?: (count: number) => void;
}

/** Text of a complete response of the simulated engine. */
export function expectedText(tokens: number): string {
  return Array.from({length: tokens}, (_, i) => `w${i} `).join('');
}

/** Sends a chat request and reads the response. */
export async function chat(
  deployment: Deployment,
  options: ChatOptions,
  host: HostHandle = deployment.hosts[0],
): Promise<ChatOutcome> {
  const response = await fetch(`${host.entryUrl}/v1/chat/completions`, {
    method: 'POST',
    headers: {
      'content-type': 'application/json',
      authorization: `Bearer ${deployment.key}`,
      ...options.headers,
    },
    body: JSON.stringify({
      model: deployment.model,
      stream: options.stream ?? true,
      stream_options: {include_usage: true},
      max_tokens: options.tokens,
      messages: [{role: 'user', content: options.marker}],
      ...options.fields,
    }),
    signal: options.signal ?? null,
  });
  const type = response.headers.get('content-type') ?? '';
  if (type.startsWith('text/event-stream')) return readStream(response, options);
  const body = (await response.json()) as ResponseBody & {error?: CallerError};
  return {
    statusCode: response.status,
    text: body.choices?.[0]?.message?.content ?? '',
    whole: response.ok,
    error: body.error,
    usage: body.usage,
    ids: new Set(body.id === undefined ? [] : [body.id]),
  };
}

interface ResponseBody {
  id?: string;
  choices?: {message?: {content?: string}; delta?: {content?: string}}[];
  usage?: {prompt_tokens: number; completion_tokens: number};
}

async function readStream(response: Response, options: ChatOptions): Promise<ChatOutcome> {
  const decoder = new TextDecoder();
  const ids = new Set<string>();
  let buffered = '';
  let text = '';
  let chunkCount = 0;
  let whole = false;
  let error: CallerError | undefined;
  let usage: ResponseBody['usage'];
  const handleEvent = (data: string) => {
    if (data === '[DONE]') {
      whole = true;
      return;
    }
    const chunk = JSON.parse(data) as ResponseBody & {error?: CallerError};
    if (chunk.error) error = chunk.error;
    if (chunk.usage) usage = chunk.usage;
    if (chunk.id) ids.add(chunk.id);
    const content = chunk.choices?.[0]?.delta?.content;
    if (content) {
      text += content;
      options.onChunk?.(++chunkCount);
    }
  };
  try {
    for await (const bytes of response.body!) {
      buffered += decoder.decode(bytes as Uint8Array, {stream: true});
      const events = buffered.split('\n\n');
      buffered = events.pop()!;
      for (const event of events) handleEvent(event.replace(/^data: /, ''));
    }
  } catch (failure) {
    // A stream that is cut off without an error event is reported as `whole: false`.
    if ((failure as Error).name === 'AbortError') throw failure;
  }
  return {statusCode: response.status, text, whole, error, usage, ids};
}

/** Sets the faults of a simulated target or of a fault proxy. */
export async function setFaults(url: string, faults: object): Promise<void> {
  const path = url.endsWith('/faults') ? url : `${url}/test/faults`;
  const response = await fetch(path, {method: 'POST', body: JSON.stringify(faults)});
  if (!response.ok) throw new Error(`status ${response.status} from ${path}`);
  await response.text();
}

export async function readEngine(url: string): Promise<EngineRecord> {
  return (await fetch(`${url}/test/record`)).json() as Promise<EngineRecord>;
}

/** Returns the calls executed by any service whose body or URL contains `marker`. */
export async function findExecutions(
  deployment: Deployment,
  marker: string,
): Promise<ServiceExecution[]> {
  const found: ServiceExecution[] = [];
  for (const {child, url} of deployment.services) {
    if (!child.isRunning()) continue;
    const {executions} = (await (await fetch(`${url}/test/record`)).json()) as {
      executions: ServiceExecution[];
    };
    found.push(
      ...executions.filter(call => call.body.includes(marker) || call.url.includes(marker)),
    );
  }
  return found;
}

/** Returns the attempts at engines whose request body contains `marker`. */
export async function findAttempts(
  deployment: Deployment,
  marker: string,
): Promise<{engine: number; attemptId: string; body: string; record: EngineRecord}[]> {
  const found = [];
  for (const [engine, {child, url}] of deployment.engines.entries()) {
    if (!child.isRunning()) continue;
    const record = await readEngine(url);
    for (const {attemptId, body} of record.started) {
      if (body.includes(marker)) found.push({engine, attemptId, body, record});
    }
  }
  return found;
}

/** Waits until an engine runs a request whose body contains `marker`; returns the attempt. */
export async function waitForAttempt(deployment: Deployment, marker: string) {
  const attempts = await waitUntil(
    () => findAttempts(deployment, marker),
    found => found.length > 0,
  );
  return attempts[0];
}

/** Creates fault proxies in front of the parts of a deployment, by name of the part. */
export function createProxies(seed: number) {
  const proxies = new Map<string, FaultProxy>();
  return {
    proxies,
    mapUrl: async (name: string, url: string) => {
      const proxy = await startFaultProxy({targetUrl: url, seed: seed + proxies.size});
      proxies.set(name, proxy);
      return proxy.url;
    },
    clear: () => proxies.forEach(proxy => proxy.clearFaults()),
    stop: () => Promise.all([...proxies.values()].map(proxy => proxy.stop())),
  };
}

/** Sends bytes to a server and returns all it sends until the connection closes. */
export async function sendRaw(url: string, parts: readonly (string | Buffer)[]): Promise<string> {
  const {hostname, port} = new URL(url);
  const socket = connect({host: hostname, port: Number(port)});
  const chunks: Buffer[] = [];
  socket.on('data', chunk => chunks.push(chunk));
  socket.on('error', () => undefined);
  await once(socket, 'connect');
  for (const part of parts) socket.write(part);
  // `events.once` would reject when the connection is reset.
  if (!socket.closed) await new Promise(resolve => socket.once('close', resolve));
  return Buffer.concat(chunks).toString('latin1');
}

/** Splits a raw HTTP/1.1 response with a JSON body. */
export function parseRawAnswer(text: string): {
  statusCode: number;
  head: string;
  error: CallerError;
} {
  const [head, body] = text.split('\r\n\r\n', 2);
  const {error} = JSON.parse(body) as {error: CallerError};
  return {statusCode: Number(head.split(' ')[1]), head: head.toLowerCase(), error};
}
