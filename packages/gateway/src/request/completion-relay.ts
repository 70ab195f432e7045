import {once} from 'node:events';
import {AnswerBuffer} from '@radishgw/core';
import {
  Chunk,
  ChunkChoice,
  CompletionBuilder,
  parseChunk,
  TokenUsage,
} from '../engine/completion.js';
import {EngineError} from '../engine/engine-stream.js';
import {buildContinuation} from '../engine/continuation.js';
import {MODEL_REQUEST_KINDS, ModelRequest, ModelRequestPath} from './body.js';
import {RequestContext} from './context.js';

/** Merges the chunks of one or more attempts into a single response to the caller. */
export class CompletionRelay {
  private builder: CompletionBuilder;
  /** First chunk sent to the caller; chunks of later attempts get its id. */
  private firstChunk: Chunk | undefined;
  private deliveredText = '';
  private tokenCount = 0;
  /** Length of the content that is kept. */
  private contentChars = 0;
  /** Tokens delivered by earlier attempts, which the current attempt got as part of its prompt. */
  private earlierAttemptTokens = 0;
  private isTextOnly = true;
  private readonly finishedChoices = new Set<number>();
  private pendingOutput = '';
  private attemptNumber = 0;
  private usage: TokenUsage | undefined;

  constructor(
    private readonly context: RequestContext,
    private readonly path: ModelRequestPath,
    private readonly request: ModelRequest,
    /** Limit on the output tokens of each choice. */
    private readonly maxTokens: number,
    private readonly estimatedPromptTokens: number,
    /** Holds the parts of the completion that are needed later. */
    private readonly buffer: AnswerBuffer,
  ) {
    this.builder = this.createBuilder();
  }

  /** Number of output tokens received so far. */
  get outputTokens(): number {
    return this.tokenCount;
  }

  /**
   * Starts an attempt and returns its request body. Returns undefined if part of the completion
   * has been delivered and another engine cannot continue it as if it were uninterrupted.
   */
  beginAttempt(): string | undefined {
    this.attemptNumber++;
    this.usage = undefined;
    const stream = {
      stream: true,
      stream_options: {...this.request.stream_options, include_usage: true},
    };
    if (!this.request.stream || this.deliveredText === '') {
      if (!this.isTextOnly && this.request.stream) return undefined;
      this.builder = this.createBuilder();
      this.tokenCount = 0;
      this.contentChars = 0;
      return JSON.stringify({...this.request, ...this.buildTokenLimit(), ...stream});
    }
    if (!this.isTextOnly) return undefined;
    this.earlierAttemptTokens = this.tokenCount;
    const delivered = {text: this.deliveredText, tokens: this.tokenCount};
    const body = buildContinuation(this.path, this.request, this.maxTokens, delivered);
    return body && JSON.stringify({...body, ...stream});
  }

  /**
   * Adds the data of one event. Throws if it is not a valid chunk, or an {@link EngineError} if the
   * completion is too large.
   */
  add(data: string): void {
    const chunk = parseChunk(data);
    for (const {text, delta} of chunk.choices ?? []) {
      this.contentChars += (text?.length ?? 0) + (delta ? JSON.stringify(delta).length : 0);
    }
    if (!this.buffer.resize(this.contentChars)) {
      throw new EngineError('completion is too large', true);
    }
    if (chunk.usage) this.usage = this.adjustUsage(chunk.usage);
    if (!this.request.stream) {
      this.builder.add(chunk);
      this.tokenCount += chunk.choices?.length ?? 0;
      return;
    }
    for (const choice of chunk.choices ?? []) this.trackChoice(choice);
    // The host always requests the usage chunk but forwards it only if the caller requested it too.
    const isUsageChunk = chunk.choices?.length === 0;
    if (isUsageChunk && !this.request.stream_options?.include_usage) return;
    this.pendingOutput += `data: ${this.attemptNumber === 1 ? data : this.rewriteChunk(chunk)}\n\n`;
    this.firstChunk ??= chunk;
  }

  /** Sends the pending events; returns a promise for the end of backpressure from the caller. */
  flush(): Promise<unknown> | undefined {
    if (this.pendingOutput === '') return undefined;
    const {response} = this.context;
    this.startEventStream();
    const text = this.pendingOutput;
    this.pendingOutput = '';
    if (response.write(text) || response.destroyed) return undefined;
    const waitController = new AbortController();
    const {signal} = waitController;
    return Promise.race([once(response, 'drain', {signal}), once(response, 'close', {signal})])
      .catch(() => undefined)
      .finally(() => waitController.abort());
  }

  /**
   * Whether everything that the caller requested was delivered although the engine was lost: all
   * choices have finished, and only the token counts for usage records are missing.
   */
  isFullyDelivered(): boolean {
    const isFinished = this.finishedChoices.size >= (this.request.n ?? 1);
    return isFinished && !this.request.stream_options?.include_usage;
  }

  /** Ends the response; called when the completion is complete. */
  finish(): TokenUsage {
    const {response} = this.context;
    if (this.request.stream) {
      this.startEventStream();
      response.end(`${this.pendingOutput}data: [DONE]\n\n`);
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

  private createBuilder(): CompletionBuilder {
    return new CompletionBuilder(MODEL_REQUEST_KINDS[this.path].objectType);
  }

  /** Limits the engine to the output tokens that the request was charged for. */
  private buildTokenLimit(): {max_tokens?: number} {
    const {max_tokens: maxTokens, max_completion_tokens: maxCompletionTokens} = this.request;
    return maxTokens || maxCompletionTokens ? {} : {max_tokens: this.maxTokens};
  }

  private startEventStream(): void {
    const {response} = this.context;
    if (response.headersSent) return;
    this.context.firstByteMs ??= performance.now();
    response.writeHead(200, {
      'content-type': 'text/event-stream; charset=utf-8',
      'cache-control': 'no-cache',
    });
  }

  private trackChoice(choice: ChunkChoice): void {
    const content = choice.text ?? choice.delta?.content;
    if (typeof content === 'string') {
      this.deliveredText += content;
      if (content !== '') this.tokenCount++;
    }
    if (choice.finish_reason) this.finishedChoices.add(choice.index);
    for (const [name, value] of Object.entries(choice.delta ?? {})) {
      if (name === 'role' || name === 'content' || value === null) continue;
      this.isTextOnly = false;
    }
  }

  private adjustUsage(usage: NonNullable<Chunk['usage']>): TokenUsage {
    return {
      promptTokens: Math.max(0, usage.prompt_tokens - this.earlierAttemptTokens),
      outputTokens: usage.completion_tokens + this.earlierAttemptTokens,
    };
  }

  /** Adapts a chunk of a later attempt to the first one: id, role and token counts. */
  private rewriteChunk(chunk: Chunk): string {
    const rewritten: Chunk = {...chunk};
    if (this.firstChunk) {
      rewritten.id = this.firstChunk.id;
      rewritten.created = this.firstChunk.created;
      rewritten.choices = chunk.choices?.map(({delta, ...choice}) => {
        if (!delta) return choice;
        const {role: _, ...rest} = delta;
        void _;
        return {...choice, delta: rest};
      });
    }
    if (chunk.usage && this.usage) {
      const {promptTokens, outputTokens} = this.usage;
      rewritten.usage = {
        ...chunk.usage,
        prompt_tokens: promptTokens,
        completion_tokens: outputTokens,
        total_tokens: promptTokens + outputTokens,
      };
    }
    return JSON.stringify(rewritten);
  }
}
