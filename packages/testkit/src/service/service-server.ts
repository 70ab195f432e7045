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
}

/** Starts the stand-in on the loopback interface; port 0 chooses a free port. */
export async function startServiceServer(port = 0): Promise<ServiceServer> {
  const behaviour: ServiceBehaviour = {
    delayMs: 0,
    silent: false,
    dropAnswers: false,
    refuseNew: false,
  };
  const executions: ServiceExecution[] = [];
  const listening = await listen(async (request, response) => {
    const body = await readText(request).catch(() => undefined);
    if (body === undefined) return;
    if (request.url === '/test/record') {
      sendJson(response, 200, {executions});
      return;
    }
    if (request.url === '/test/faults') {
      Object.assign(behaviour, JSON.parse(body));
      sendJson(response, 200, behaviour);
      return;
    }
    if (behaviour.refuseNew) {
      response.setHeader('x-radishgw-execution', 'not_run');
      sendJson(response, 503, {message: 'service takes no new calls'});
      return;
    }
    const method = request.method ?? '';
    const url = request.url ?? '';
    executions.push({method, url, headers: {...request.headers}, body});
    const execution = executions.length;
    if (behaviour.delayMs > 0) await new Promise(resolve => setTimeout(resolve, behaviour.delayMs));
    if (behaviour.dropAnswers) request.socket.destroy();
    else if (!behaviour.silent) sendJson(response, 200, {execution, method, url});
  }, port);
  return {...listening, behaviour, executions};
}
