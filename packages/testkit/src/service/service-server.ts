import {IncomingMessage, ServerResponse} from 'node:http';
import {setTimeout} from 'node:timers/promises';
import {ListeningServer, startHttpServer, readBody, sendJson} from '../http.js';

/** Behaviour of a service stand-in; a test changes it through `POST /test/faults`. */
export interface ServiceBehaviour {
  /** Execution time of each call. */
  delayMs: number;
  /** Calls are executed but get no response. */
  silent: boolean;
  /** Calls are executed, but the connection is closed instead of a response. */
  dropAnswers: boolean;
  /** Calls are refused with 503 before they are executed. */
  refuseNew: boolean;
  /** The connection is closed when a call arrives, and the call isn't executed. */
  dropCalls: boolean;
  /** Responses carry the attempt id of another call. */
  crossAnswers: boolean;
  /** Size of the padding in each response. */
  fillerBytes: number;
  /** The connection is closed in the middle of each response body. */
  truncateAnswers: boolean;
}

/** An executed call. */
export interface ServiceExecution {
  readonly method: string;
  readonly url: string;
  readonly headers: Record<string, unknown>;
  readonly body: string;
}

/** Service stand-in, which executes each call once and records it. */
export interface ServiceServer extends ListeningServer {
  readonly behaviour: ServiceBehaviour;
  readonly executions: ServiceExecution[];
  /**
   * Refuses new calls for a short time, then closes when the calls in progress have finished, or
   * `timeoutMs` later at the latest.
   */
  stop(timeoutMs: number): Promise<void>;
}

/**
 * Time for which new calls are refused before connections are closed. Closing an idle connection
 * resets a call that is already in transit; refusals make hosts send their calls elsewhere first.
 */
const REFUSE_BEFORE_CLOSE_MS = 300;

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

  const listening = await startHttpServer(async (request, response) => {
    const body = await readBody(request).catch(() => undefined);
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
      await setTimeout(REFUSE_BEFORE_CLOSE_MS);
      return listening.stop(timeoutMs);
    },
  };
}
