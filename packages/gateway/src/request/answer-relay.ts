import {once} from 'node:events';
import {AnswerBuilder, Chunk, ChunkChoice, parseChunk, TokenUsage} from '../engine/answer.js';
import {buildContinuation} from '../engine/continuation.js';
import {MODEL_REQUEST_KINDS, ModelRequest, ModelRequestPath} from './body.js';
import {RequestContext} from './context.js';

/** Turns the chunks of one or more attempts into one answer to the caller. */
export class AnswerRelay {
  private builder: AnswerBuilder;
  /** First chunk sent to the caller; later attempts take over its id. */
  private head: Chunk | undefined;
  private text = '';
  private tokens = 0;
  /** Tokens delivered by earlier attempts, which the present attempt has got as prompt. */
  private earlierTokens = 0;
  private onlyText = true;
  private readonly finishedChoices = new Set<number>();
  private pending = '';
  private attempt = 0;
  private usage: TokenUsage | undefined;

  constructor(
    private readonly context: RequestContext,
    private readonly path: ModelRequestPath,
    private readonly request: ModelRequest,
    /** Bound on the output tokens of each choice. */
    private readonly maxTokens: number,
    private readonly estimatedPromptTokens: number,
  ) {
    this.builder = this.createBuilder();
  }

  /** Output tokens of the answer so far. */
  get outputTokens(): number {
    return this.tokens;
  }

  /**
   * Body of the next attempt; undefined when part of the answer has been delivered that no other
   * engine can continue truthfully.
   */
  beginAttempt(): string | undefined {
    this.attempt++;
    this.usage = undefined;
    const stream = {
      stream: true,
      stream_options: {...this.request.stream_options, include_usage: true},
    };
    if (!this.request.stream || this.text === '') {
      if (!this.onlyText && this.request.stream) return undefined;
      this.builder = this.createBuilder();
      this.tokens = 0;
      return JSON.stringify({...this.request, ...this.boundTokens(), ...stream});
    }
    if (!this.onlyText) return undefined;
    this.earlierTokens = this.tokens;
    const delivered = {text: this.text, tokens: this.tokens};
    const body = buildContinuation(this.path, this.request, this.maxTokens, delivered);
    return body && JSON.stringify({...body, ...stream});
  }

  /** Takes one event; throws if it isn't a chunk. */
  add(data: string): void {
    const chunk = parseChunk(data);
    if (chunk.usage) this.usage = this.countUsage(chunk.usage);
    if (!this.request.stream) {
      this.builder.add(chunk);
      this.tokens += chunk.choices?.length ?? 0;
      return;
    }
    for (const choice of chunk.choices ?? []) this.noteChoice(choice);
    // The host asks for the usage chunk; it goes to the caller only if the caller asked too.
    const onlyUsage = chunk.choices?.length === 0;
    if (onlyUsage && !this.request.stream_options?.include_usage) return;
    this.pending += `data: ${this.attempt === 1 ? data : this.adapt(chunk)}\n\n`;
    this.head ??= chunk;
  }

  /** Sends what `add` took since the last call; gives a promise when the caller reads slowly. */
  flush(): Promise<unknown> | undefined {
    if (this.pending === '') return undefined;
    const {response} = this.context;
    this.startStream();
    const text = this.pending;
    this.pending = '';
    if (response.write(text) || response.destroyed) return undefined;
    const waiting = new AbortController();
    const {signal} = waiting;
    return Promise.race([once(response, 'drain', {signal}), once(response, 'close', {signal})])
      .catch(() => undefined)
      .finally(() => waiting.abort());
  }

  /**
   * Whether all that the caller asked for was delivered although the engine was lost: the answer's
   * last chunk has gone out and only figures for the record are missing.
   */
  isDelivered(): boolean {
    const isFinished = this.finishedChoices.size >= (this.request.n ?? 1);
    return isFinished && !this.request.stream_options?.include_usage;
  }

  /** Ends the answer; called when it is whole. */
  finish(): TokenUsage {
    const {response} = this.context;
    if (this.request.stream) {
      this.startStream();
      response.end(`${this.pending}data: [DONE]\n\n`);
    } else {
      this.context.firstByteMs = performance.now();
      const text = JSON.stringify(this.builder.build());
      response.writeHead(200, {
        'content-type': 'application/json',
        'content-length': Buffer.byteLength(text),
      });
      response.end(text);
    }
    return (
      this.usage ?? {promptTokens: this.estimatedPromptTokens, outputTokens: this.outputTokens}
    );
  }

  private createBuilder(): AnswerBuilder {
    return new AnswerBuilder(MODEL_REQUEST_KINDS[this.path].answerKind);
  }

  /** The bound that the request was charged for also holds at the engine. */
  private boundTokens(): {max_tokens?: number} {
    const {max_tokens: given, max_completion_tokens: newer} = this.request;
    return given || newer ? {} : {max_tokens: this.maxTokens};
  }

  private startStream(): void {
    const {response} = this.context;
    if (response.headersSent) return;
    this.context.firstByteMs ??= performance.now();
    response.writeHead(200, {
      'content-type': 'text/event-stream; charset=utf-8',
      'cache-control': 'no-cache',
    });
  }

  private noteChoice(choice: ChunkChoice): void {
    const content = choice.text ?? choice.delta?.content;
    if (typeof content === 'string') {
      this.text += content;
      if (content !== '') this.tokens++;
    }
    if (choice.finish_reason) this.finishedChoices.add(choice.index);
    for (const [name, value] of Object.entries(choice.delta ?? {})) {
      if (name === 'role' || name === 'content' || value === null) continue;
      this.onlyText = false;
    }
  }

  private countUsage(usage: NonNullable<Chunk['usage']>): TokenUsage {
    return {
      promptTokens: Math.max(0, usage.prompt_tokens - this.earlierTokens),
      outputTokens: usage.completion_tokens + this.earlierTokens,
    };
  }

  /** Makes a chunk of a later attempt one of the same answer: id, role and counts. */
  private adapt(chunk: Chunk): string {
    const adapted: Chunk = {...chunk};
    if (this.head) {
      adapted.id = this.head.id;
      adapted.created = this.head.created;
      adapted.choices = chunk.choices?.map(({delta, ...choice}) => {
        if (!delta) return choice;
        const {role: _, ...rest} = delta;
        void _;
        return {...choice, delta: rest};
      });
    }
    if (chunk.usage && this.usage) {
      const {promptTokens, outputTokens} = this.usage;
      adapted.usage = {
        ...chunk.usage,
        prompt_tokens: promptTokens,
        completion_tokens: outputTokens,
        total_tokens: promptTokens + outputTokens,
      };
    }
    return JSON.stringify(adapted);
  }
}
