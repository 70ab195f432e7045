import {IncomingMessage, ServerResponse} from 'node:http';
import {setTimeout} from 'node:timers/promises';
import {Listening, listen, readText, sendJson} from '../http.js';

/** Behaviour of a service stand-in; a test changes it through `POST /test/faults`. */
export interface ServiceBehaviour {
  /** Time that a call takes. */
  delayMs: number;
  /** Calls are executed but not answered. */
  silent: boolean;
  /** Calls are executed and the connection is closed without an answer. */
  dropAnswers: boolean;
  /** Calls are refused with 503 before they are executed. */
  refuseNew: boolean;
  /** The connection is closed when a call arrives, which isn't executed. */
  dropCalls: boolean;
  /** Responses carry the attempt id of another call. */
  crossAnswers: boolean;
  /** Size of a filler in each response. */
  fillerBytes: number;
  /** Responses are cut in the middle of their body. */
  truncateAnswers: boolean;
}

/** An executed call. */
export interface ServiceExecution {
  readonly method: string;
  readonly url: string;
  readonly headers: Record<string, unknown>;
  readonly body: string;
}

/** Plain service stand-in: executes each call once and records it. */
export interface ServiceServer extends Listening {
  readonly behaviour: ServiceBehaviour;
  readonly executions: ServiceExecution[];
  /** Refuses new calls, finishes those in progress and closes, after at most `timeoutMs`. */
  stop(timeoutMs: number): Promise<void>;
}

/**
 * Time between the first refusal and the closing of connections. Closing an idle connection resets
 * a call that is already on its way; hosts learn from refusals in this time to call elsewhere.
 */
const REFUSING_MS = 300;

const DEFAULT_BEHAVIOUR: ServiceBehaviour = {
  delayMs: 0,
  silent: false,
  dropAnswers: false,
  refuseNew: false,
  dropCalls: false,
  crossAnswers: false,
  fillerBytes: 0,
  truncateAnswers: false,
};

/** Starts the stand-in on the loopback interface; port 0 chooses a free port. */
export async function startServiceServer(port = 0): Promise<ServiceServer> {
  const behaviour: ServiceBehaviour = {...DEFAULT_BEHAVIOUR};
  const executions: ServiceExecution[] = [];

  async function execute(request: IncomingMessage, response: ServerResponse, body: string) {
    const method = request.method ?? '';
    const url = request.url ?? '';
    executions.push({method, url, headers: {...request.headers}, body});
    const execution = executions.length;
    if (behaviour.delayMs > 0) await setTimeout(behaviour.delayMs);
    if (behaviour.silent) return;
    if (behaviour.dropAnswers) {
      request.socket.destroy();
      return;
    }
    const attemptId = request.headers['x-radishgw-attempt-id'];
    if (attemptId) {
      response.setHeader('x-radishgw-attempt-id', behaviour.crossAnswers ? 'other' : attemptId);
    }
    const filler = 'x'.repeat(behaviour.fillerBytes);
    const text = JSON.stringify({execution, method, url, filler});
    response.writeHead(200, {
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(text),
    });
    if (!behaviour.truncateAnswers) response.end(text);
    else response.write(text.slice(0, text.length / 2), () => response.destroy());
  }

  const listening = await listen(async (request, response) => {
    const body = await readText(request).catch(() => undefined);
    if (body === undefined) return;
    if (request.url === '/test/record') sendJson(response, 200, {executions});
    else if (request.url === '/test/faults') {
      Object.assign(behaviour, JSON.parse(body));
      sendJson(response, 200, behaviour);
    } else if (behaviour.dropCalls) request.socket.destroy();
    else if (behaviour.refuseNew) {
      response.setHeader('x-radishgw-execution', 'not_run');
      response.shouldKeepAlive = false;
      sendJson(response, 503, {message: 'service takes no new calls'});
    } else await execute(request, response, body);
  }, port);
  return {
    ...listening,
    behaviour,
    executions,
    stop: async timeoutMs => {
      behaviour.refuseNew = true;
      await setTimeout(REFUSING_MS);
      return listening.stop(timeoutMs);
    },
  };
}
