import {IncomingMessage, ServerResponse} from 'node:http';
import {ListeningServer, startHttpServer, readBody, sendJson} from '../http.js';

/** Behaviour of an engine stand-in; a test changes it through `POST /faults`. */
export interface EngineBehaviour {
  /** Models that the engine has loaded. */
  models: string[];
  /** Time per prompt token before the first output token. */
  prefillMsPerToken: number;
  /** Time per output token. */
  decodeMsPerToken: number;
  /** Maximum number of concurrent streams; others are queued, urgent ones first. */
  slots: number;
  /** Orders with a stale fencing number are refused. */
  checksFencing: boolean;
  /**
   * Events after this number are generated but not sent on a stream's first connection; 0 sends
   * all of them and -1 sends none.
   */
  muteAfterEvents: number;
  /** The first connection of each stream gets neither response headers nor events. */
  muteHeads: boolean;
  /** Each event is sent twice. */
  duplicateEvents: boolean;
  /** The event with this number is not sent on a stream's first connection; 0 sends all. */
  skipEvent: number;
  /** Each event is preceded by an event of another attempt. */
  crossEvents: boolean;
  /** New requests are refused with 503 and are not executed. */
  refuseNew: boolean;
}

/** Requests and orders that the engine received, and the outcomes of the requests. */
export interface EngineRecord {
  readonly started: {attemptId: string; headers: Record<string, unknown>; body: string}[];
  readonly cancelled: string[];
  /** Requests to resume a stream after the event with the number `after`. */
  readonly resumed: {attemptId: string; after: number}[];
  readonly finished: string[];
  readonly orders: EngineOrderRecord[];
}

/** A received order and whether it was applied. */
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

interface GenerationRequest {
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
const CLOSE_TIMEOUT_MS = 1000;
const STREAM_RETENTION_MS = 60_000;

/** Engine stand-in: OpenAI streams with numbered events, which can be resumed and cancelled. */
export class EngineServer {
  readonly record: EngineRecord = {
    started: [],
    cancelled: [],
    resumed: [],
    finished: [],
    orders: [],
  };
  readonly behaviour: EngineBehaviour;
  httpServer!: ListeningServer;
  private readonly drainListeners = new Set<() => void>();
  private readonly streams = new Map<string, StreamState>();
  private readonly queue: {urgent: boolean; start: () => void}[] = [];
  private runningCount = 0;
  private role = 'both';
  private fencingNumber = 0;

  constructor(behaviour: Partial<EngineBehaviour>) {
    this.behaviour = {...DEFAULT_BEHAVIOUR, ...behaviour};
  }

  async start(port = 0): Promise<this> {
    this.httpServer = await startHttpServer((request, response) => {
      this.dispatch(request, response).catch(error => {
        if (!response.headersSent) sendJson(response, 400, {error: {message: String(error)}});
      });
    }, port);
    return this;
  }

  get url(): string {
    return this.httpServer.url;
  }

  /** Refuses new requests, waits up to `timeoutMs` for the streams in progress, then closes. */
  async stop(timeoutMs: number): Promise<void> {
    this.behaviour.refuseNew = true;
    if (this.isBusy()) {
      await new Promise<void>(resolve => {
        this.drainListeners.add(resolve);
        setTimeout(resolve, timeoutMs);
      });
    }
    await this.httpServer.stop(CLOSE_TIMEOUT_MS);
  }

  private isBusy(): boolean {
    return [...this.streams.values()].some(
      state => !state.cancelled && (!state.done || state.listeners.size > 0),
    );
  }

  private notifyIfDrained(): void {
    if (this.drainListeners.size === 0 || this.isBusy()) return;
    for (const resolve of this.drainListeners) resolve();
  }

  private async dispatch(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const url = new URL(request.url ?? '/', 'http://engine');
    const [, , resource, id] = url.pathname.split('/');
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
      'POST orders': () => this.handleOrder(request, response),
      'GET record': () => sendJson(response, 200, this.record),
      'POST faults': async () => {
        Object.assign(this.behaviour, JSON.parse(await readBody(request)));
        sendJson(response, 200, this.behaviour);
      },
    };
    const handler = handlers[`${request.method} ${resource}`];
    if (handler) await handler();
    else sendJson(response, 404, {error: {message: 'no such path'}});
  }

  private async generate(request: IncomingMessage, response: ServerResponse, object: string) {
    const text = await readBody(request);
    const attemptId = String(request.headers['x-radishgw-attempt-id'] ?? `local-${Date.now()}`);
    if (this.behaviour.refuseNew) {
      response.setHeader('x-radishgw-execution', 'not_run');
      sendJson(response, 503, {error: {message: 'engine takes no new requests'}});
      return;
    }
    this.record.started.push({attemptId, headers: {...request.headers}, body: text});
    const state: StreamState = {events: [], listeners: new Set(), done: false, cancelled: false};
    this.streams.set(attemptId, state);
    setTimeout(() => this.streams.delete(attemptId), STREAM_RETENTION_MS).unref();
    const urgent = request.headers['x-radishgw-priority'] === 'urgent';
    this.startOrEnqueue(urgent, () =>
      this.run(attemptId, state, JSON.parse(text) as GenerationRequest, object),
    );
    this.sendEvents(response, state, attemptId, 0, true);
  }

  private startOrEnqueue(urgent: boolean, start: () => void): void {
    if (this.runningCount < this.behaviour.slots) {
      this.runningCount++;
      start();
      return;
    }
    const firstNonUrgent = this.queue.findIndex(entry => urgent && !entry.urgent);
    this.queue.splice(firstNonUrgent < 0 ? this.queue.length : firstNonUrgent, 0, {urgent, start});
  }

  private releaseSlot(): void {
    const next = this.queue.shift();
    if (next) next.start();
    else this.runningCount--;
  }

  private run(
    attemptId: string,
    state: StreamState,
    body: GenerationRequest,
    object: string,
  ): void {
    const prompt = body.messages ? JSON.stringify(body.messages) : (body.prompt ?? '');
    const promptTokens = Math.ceil(prompt.length / CHARACTERS_PER_TOKEN);
    const maxTokens = body.max_completion_tokens ?? body.max_tokens ?? DEFAULT_OUTPUT_TOKENS;
    // A continued message starts with the tokens of an earlier attempt, one per word.
    const continuedTokens = body.continue_final_message
      ? countGeneratedTokens(String(body.messages?.at(-1)?.content ?? ''))
      : countGeneratedTokens(body.prompt ?? '');
    let generatedTokens = 0;
    const commonFields = {id: `cmpl-${attemptId}`, object, created: 0, model: body.model};
    const generateNext = () => {
      if (state.cancelled) {
        this.releaseSlot();
        return;
      }
      if (generatedTokens < maxTokens) {
        const content = `w${continuedTokens + generatedTokens} `;
        const delta = generatedTokens === 0 ? {role: 'assistant', content} : {content};
        const choice = body.messages
          ? {index: 0, delta, finish_reason: null}
          : {index: 0, text: content, finish_reason: null};
        this.appendEvent(state, JSON.stringify({...commonFields, choices: [choice]}));
        generatedTokens++;
        setTimeout(generateNext, this.behaviour.decodeMsPerToken);
        return;
      }
      const emptyContent = body.messages ? {delta: {}} : {text: ''};
      this.appendEvent(
        state,
        JSON.stringify({
          ...commonFields,
          choices: [{index: 0, ...emptyContent, finish_reason: 'stop'}],
        }),
      );
      const usage = {
        prompt_tokens: promptTokens,
        completion_tokens: generatedTokens,
        total_tokens: promptTokens + generatedTokens,
      };
      this.appendEvent(state, JSON.stringify({...commonFields, choices: [], usage}));
      this.appendEvent(state, '[DONE]');
      state.done = true;
      this.record.finished.push(attemptId);
      for (const listener of state.listeners) listener();
      this.releaseSlot();
      this.notifyIfDrained();
    };
    setTimeout(generateNext, promptTokens * this.behaviour.prefillMsPerToken);
  }

  private appendEvent(state: StreamState, data: string): void {
    state.events.push(data);
    for (const listener of state.listeners) listener();
  }

  /** Sends the events after number `after` as they are generated; numbers start at 1. */
  private sendEvents(
    response: ServerResponse,
    state: StreamState,
    attemptId: string,
    after: number,
    isFirst: boolean,
  ): void {
    const {muteAfterEvents, muteHeads, skipEvent, duplicateEvents, crossEvents} = this.behaviour;
    let sent = after;
    const send = () => {
      if (isFirst && muteHeads) return;
      while (sent < state.events.length) {
        if (isFirst && muteAfterEvents !== 0 && sent >= Math.max(0, muteAfterEvents)) return;
        sent++;
        if (isFirst && sent === skipEvent) continue;
        const event = `id: ${attemptId}:${sent}\ndata: ${state.events[sent - 1]}\n\n`;
        if (crossEvents) response.write(`id: other:${sent}\ndata: {"choices":[]}\n\n`);
        response.write(event);
        if (duplicateEvents) response.write(event);
      }
      if (state.done || state.cancelled) response.end();
    };
    response.once('close', () => {
      state.listeners.delete(send);
      this.notifyIfDrained();
    });
    state.listeners.add(send);
    if (!isFirst || !muteHeads) {
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
    if (state) this.sendEvents(response, state, attemptId, after, false);
    else sendJson(response, 404, {error: {message: 'no such stream'}});
  }

  private cancel(response: ServerResponse, attemptId: string): void {
    const state = this.streams.get(attemptId);
    if (state && !state.done) {
      state.cancelled = true;
      this.record.cancelled.push(attemptId);
      for (const listener of state.listeners) listener();
      this.notifyIfDrained();
    }
    sendJson(response, 200, {});
  }

  private sendLoad(response: ServerResponse): void {
    sendJson(response, 200, {
      running: this.runningCount,
      waiting: this.queue.length,
      slots: this.behaviour.slots,
      role: this.role,
    });
  }

  private async handleOrder(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const order = JSON.parse(await readBody(request)) as {
      orderId: string;
      fencingNumber: number;
      role: string;
    };
    const isStale = this.behaviour.checksFencing && order.fencingNumber < this.fencingNumber;
    this.record.orders.push({
      orderId: order.orderId,
      fencingNumber: order.fencingNumber,
      role: order.role,
      applied: !isStale,
    });
    if (isStale) {
      sendJson(response, 409, {fencingNumber: this.fencingNumber});
      return;
    }
    this.fencingNumber = Math.max(this.fencingNumber, order.fencingNumber);
    this.role = order.role ?? this.role;
    sendJson(response, 200, {});
  }
}

function countGeneratedTokens(text: string): number {
  return text.match(/\bw\d+ /g)?.length ?? 0;
}
