import {IncomingMessage, ServerResponse} from 'node:http';
import {Listening, listen, readText, sendJson} from '../http.js';

/** Behaviour of an engine stand-in; a test changes it through `POST /faults`. */
export interface EngineBehaviour {
  /** Models that the engine has loaded. */
  models: string[];
  /** Delay before the first token of each prompt token and of each output token. */
  prefillMsPerToken: number;
  decodeMsPerToken: number;
  /** Streams that run at a time; others wait, urgent ones first. */
  slots: number;
  /** Orders with an old fencing number are refused. */
  checksFencing: boolean;
  /**
   * Events after this number are generated but not sent on the first connection; 0 sends all, -1
   * none.
   */
  muteAfterEvents: number;
  /** The first connection of each stream gets no response head. */
  muteHeads: boolean;
  /** Each event is sent twice. */
  duplicateEvents: boolean;
  /** The event with this number is left out on the first connection; 0 leaves out none. */
  skipEvent: number;
  /** Each event is preceded by one of another attempt. */
  crossEvents: boolean;
  /** New requests get a 503 and are not run. */
  refuseNew: boolean;
}

/** What the engine received and did. */
export interface EngineRecord {
  readonly started: {attemptId: string; headers: Record<string, unknown>; body: string}[];
  readonly cancelled: string[];
  /** Number of the event after which a stream was asked for again. */
  readonly resumed: {attemptId: string; after: number}[];
  readonly finished: string[];
  readonly orders: EngineOrderRecord[];
}

/** An order as received and whether it was applied. */
export interface EngineOrderRecord {
  readonly orderId: string;
  readonly fencingNumber: number;
  readonly role: string;
  readonly applied: boolean;
}

interface StreamState {
  readonly events: string[];
  readonly listeners: Set<() => void>;
  done: boolean;
  cancelled: boolean;
}

interface ChatBody {
  model?: string;
  messages?: {role: string; content: unknown}[];
  prompt?: string;
  continue_final_message?: boolean;
  max_tokens?: number;
  max_completion_tokens?: number;
}

const DEFAULT_BEHAVIOUR: EngineBehaviour = {
  models: [],
  prefillMsPerToken: 0,
  decodeMsPerToken: 2,
  slots: 16,
  checksFencing: true,
  muteAfterEvents: 0,
  muteHeads: false,
  duplicateEvents: false,
  skipEvent: 0,
  crossEvents: false,
  refuseNew: false,
};
const DEFAULT_OUTPUT_TOKENS = 16;
const CHARACTERS_PER_TOKEN = 4;
const STOP_CLOSE_MS = 1000;
const STREAM_KEPT_MS = 60_000;

/** Engine stand-in: OpenAI streams with numbered events that can be resumed and cancelled. */
export class EngineServer {
  readonly record: EngineRecord = {
    started: [],
    cancelled: [],
    resumed: [],
    finished: [],
    orders: [],
  };
  readonly behaviour: EngineBehaviour;
  listening!: Listening;
  private readonly drained = new Set<() => void>();
  private readonly streams = new Map<string, StreamState>();
  private readonly waiting: {urgent: boolean; start: () => void}[] = [];
  private running = 0;
  private role = 'both';
  private fencingNumber = 0;

  constructor(behaviour: Partial<EngineBehaviour>) {
    this.behaviour = {...DEFAULT_BEHAVIOUR, ...behaviour};
  }

  async start(port = 0): Promise<this> {
    this.listening = await listen((request, response) => {
      this.dispatch(request, response).catch(error => {
        if (!response.headersSent) sendJson(response, 400, {error: {message: String(error)}});
      });
    }, port);
    return this;
  }

  get url(): string {
    return this.listening.url;
  }

  /** Refuses new requests, finishes and delivers the streams in progress, then closes. */
  async stop(timeoutMs: number): Promise<void> {
    this.behaviour.refuseNew = true;
    if (this.isBusy()) {
      await new Promise<void>(resolve => {
        this.drained.add(resolve);
        setTimeout(resolve, timeoutMs);
      });
    }
    await this.listening.stop(STOP_CLOSE_MS);
  }

  private isBusy(): boolean {
    return [...this.streams.values()].some(
      state => !state.cancelled && (!state.done || state.listeners.size > 0),
    );
  }

  private noteProgress(): void {
    if (this.drained.size === 0 || this.isBusy()) return;
    for (const resolve of this.drained) resolve();
  }

  private async dispatch(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const url = new URL(request.url ?? '/', 'http://engine');
    const [, , name, id] = url.pathname.split('/');
    const handlers: Record<string, () => Promise<void> | void> = {
      'POST chat': () => this.generate(request, response, 'chat.completion.chunk'),
      'POST completions': () => this.generate(request, response, 'text_completion'),
      'GET streams': () => this.resume(response, id, Number(url.searchParams.get('after') ?? 0)),
      'DELETE streams': () => this.cancel(response, id),
      'GET load': () => this.sendLoad(response),
      'GET state': () =>
        sendJson(response, 200, {
          role: this.role,
          fencingNumber: this.fencingNumber,
          models: this.behaviour.models,
        }),
      'POST orders': () => this.takeOrder(request, response),
      'GET record': () => sendJson(response, 200, this.record),
      'POST faults': async () => {
        Object.assign(this.behaviour, JSON.parse(await readText(request)));
        sendJson(response, 200, this.behaviour);
      },
    };
    const handler = handlers[`${request.method} ${name}`];
    if (handler) await handler();
    else sendJson(response, 404, {error: {message: 'no such path'}});
  }

  private async generate(request: IncomingMessage, response: ServerResponse, object: string) {
    const text = await readText(request);
    const attemptId = String(request.headers['x-radishgw-attempt-id'] ?? `local-${Date.now()}`);
    if (this.behaviour.refuseNew) {
      response.setHeader('x-radishgw-execution', 'not_run');
      sendJson(response, 503, {error: {message: 'engine takes no new requests'}});
      return;
    }
    this.record.started.push({attemptId, headers: {...request.headers}, body: text});
    const state: StreamState = {events: [], listeners: new Set(), done: false, cancelled: false};
    this.streams.set(attemptId, state);
    setTimeout(() => this.streams.delete(attemptId), STREAM_KEPT_MS).unref();
    const urgent = request.headers['x-radishgw-priority'] === 'urgent';
    this.enqueue(urgent, () => this.run(attemptId, state, JSON.parse(text) as ChatBody, object));
    this.relay(response, state, attemptId, 0, true);
  }

  private enqueue(urgent: boolean, start: () => void): void {
    if (this.running < this.behaviour.slots) {
      this.running++;
      start();
      return;
    }
    const firstOther = this.waiting.findIndex(entry => urgent && !entry.urgent);
    this.waiting.splice(firstOther < 0 ? this.waiting.length : firstOther, 0, {urgent, start});
  }

  private release(): void {
    const next = this.waiting.shift();
    if (next) next.start();
    else this.running--;
  }

  private run(attemptId: string, state: StreamState, body: ChatBody, object: string): void {
    const prompt = body.messages ? JSON.stringify(body.messages) : (body.prompt ?? '');
    const promptTokens = Math.ceil(prompt.length / CHARACTERS_PER_TOKEN);
    const wanted = body.max_completion_tokens ?? body.max_tokens ?? DEFAULT_OUTPUT_TOKENS;
    // A continued message begins with tokens of an earlier attempt, one for each word.
    const begun = body.continue_final_message
      ? countWords(String(body.messages?.at(-1)?.content ?? ''))
      : countWords(body.prompt ?? '');
    let produced = 0;
    const head = {id: `cmpl-${attemptId}`, object, created: 0, model: body.model};
    const step = () => {
      if (state.cancelled) {
        this.release();
        return;
      }
      if (produced < wanted) {
        const content = `w${begun + produced} `;
        const delta = produced === 0 ? {role: 'assistant', content} : {content};
        const choice = body.messages
          ? {index: 0, delta, finish_reason: null}
          : {index: 0, text: content, finish_reason: null};
        this.emit(state, JSON.stringify({...head, choices: [choice]}));
        produced++;
        setTimeout(step, this.behaviour.decodeMsPerToken);
        return;
      }
      const last = body.messages ? {delta: {}} : {text: ''};
      this.emit(
        state,
        JSON.stringify({...head, choices: [{index: 0, ...last, finish_reason: 'stop'}]}),
      );
      const usage = {
        prompt_tokens: promptTokens,
        completion_tokens: produced,
        total_tokens: promptTokens + produced,
      };
      this.emit(state, JSON.stringify({...head, choices: [], usage}));
      this.emit(state, '[DONE]');
      state.done = true;
      this.record.finished.push(attemptId);
      for (const listener of state.listeners) listener();
      this.release();
      this.noteProgress();
    };
    setTimeout(step, promptTokens * this.behaviour.prefillMsPerToken);
  }

  private emit(state: StreamState, data: string): void {
    state.events.push(data);
    for (const listener of state.listeners) listener();
  }

  /** Sends the events after number `after` as they come; numbers start at 1. */
  private relay(
    response: ServerResponse,
    state: StreamState,
    attemptId: string,
    after: number,
    first: boolean,
  ): void {
    const {muteAfterEvents, muteHeads, skipEvent, duplicateEvents, crossEvents} = this.behaviour;
    let sent = after;
    const send = () => {
      if (first && muteHeads) return;
      while (sent < state.events.length) {
        if (first && muteAfterEvents !== 0 && sent >= Math.max(0, muteAfterEvents)) return;
        sent++;
        if (first && sent === skipEvent) continue;
        const event = `id: ${attemptId}:${sent}\ndata: ${state.events[sent - 1]}\n\n`;
        if (crossEvents) response.write(`id: other:${sent}\ndata: {"choices":[]}\n\n`);
        response.write(event);
        if (duplicateEvents) response.write(event);
      }
      if (state.done || state.cancelled) response.end();
    };
    response.once('close', () => {
      state.listeners.delete(send);
      this.noteProgress();
    });
    state.listeners.add(send);
    if (!first || !muteHeads) {
      response.writeHead(200, {
        'content-type': 'text/event-stream',
        'x-radishgw-attempt-id': attemptId,
      });
      response.flushHeaders();
    }
    send();
  }

  private resume(response: ServerResponse, attemptId: string, after: number): void {
    this.record.resumed.push({attemptId, after});
    const state = this.streams.get(attemptId);
    if (state) this.relay(response, state, attemptId, after, false);
    else sendJson(response, 404, {error: {message: 'no such stream'}});
  }

  private cancel(response: ServerResponse, attemptId: string): void {
    const state = this.streams.get(attemptId);
    if (state && !state.done) {
      state.cancelled = true;
      this.record.cancelled.push(attemptId);
      for (const listener of state.listeners) listener();
      this.noteProgress();
    }
    sendJson(response, 200, {});
  }

  private sendLoad(response: ServerResponse): void {
    sendJson(response, 200, {
      running: this.running,
      waiting: this.waiting.length,
      slots: this.behaviour.slots,
      role: this.role,
    });
  }

  private async takeOrder(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const order = JSON.parse(await readText(request)) as {
      orderId: string;
      fencingNumber: number;
      role: string;
    };
    const stale = this.behaviour.checksFencing && order.fencingNumber < this.fencingNumber;
    this.record.orders.push({
      orderId: order.orderId,
      fencingNumber: order.fencingNumber,
      role: order.role,
      applied: !stale,
    });
    if (stale) {
      sendJson(response, 409, {fencingNumber: this.fencingNumber});
      return;
    }
    this.fencingNumber = Math.max(this.fencingNumber, order.fencingNumber);
    this.role = order.role ?? this.role;
    sendJson(response, 200, {});
  }
}

function countWords(text: string): number {
  return text.match(/\bw\d+ /g)?.length ?? 0;
}
