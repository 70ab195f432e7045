import {parseJson} from '@radishgw/core';

/** Memory that the values of an event may take: those of some hundred tokens and alternatives. */
const MAX_EVENT_VALUE_BYTES = 4 * 1024 * 1024;

/** Token counts of a completion as reported by the engine. */
export interface TokenUsage {
  readonly promptTokens: number;
  readonly outputTokens: number;
}

/** A chunk of an OpenAI stream; fields that the host doesn't use are forwarded unchanged. */
export interface Chunk {
  id?: string;
  model?: string;
  created?: number;
  choices?: ChunkChoice[];
  usage?: {prompt_tokens: number; completion_tokens: number; total_tokens: number} | null;
}

export interface ChunkChoice {
  index: number;
  delta?: Record<string, unknown>;
  text?: string;
  finish_reason?: string | null;
}

type Fields = Record<string, unknown>;

/** Parses the data of an engine's event; throws if it is not a valid chunk. */
export function parseChunk(data: string): Chunk {
  let chunk: Chunk | null;
  try {
    chunk = parseJson(data, MAX_EVENT_VALUE_BYTES) as Chunk | null;
  } catch (cause) {
    throw new Error('event is not JSON', {cause});
  }
  if (typeof chunk !== 'object' || chunk === null || Array.isArray(chunk)) {
    throw new Error('event is not an object');
  }
  if (chunk.choices !== undefined && !isChoiceList(chunk.choices)) {
    throw new Error('choices: expected a list of objects with an index');
  }
  if (chunk.usage && !hasTokenCounts(chunk.usage)) {
    throw new Error('usage: expected token counts');
  }
  return chunk;
}

function isChoiceList(value: unknown): boolean {
  return (
    Array.isArray(value) &&
    value.every(
      choice =>
        typeof choice === 'object' &&
        choice !== null &&
        Number.isInteger(choice.index) &&
        (choice.delta === undefined || isPlainObject(choice.delta)),
    )
  );
}

function isPlainObject(value: unknown): boolean {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

function hasTokenCounts(usage: {prompt_tokens: unknown; completion_tokens: unknown}): boolean {
  return Number.isFinite(usage.prompt_tokens) && Number.isFinite(usage.completion_tokens);
}

/** Builds the response of a non-streaming call from the chunks of a stream. */
export class CompletionBuilder {
  private firstChunk: Chunk = {};
  private readonly choices = new Map<number, Fields>();
  private usage: Chunk['usage'];

  constructor(private readonly objectType: 'chat.completion' | 'text_completion') {}

  add(chunk: Chunk): void {
    if (!this.firstChunk.id) this.firstChunk = chunk;
    if (chunk.usage) this.usage = chunk.usage;
    for (const choice of chunk.choices ?? []) this.addChoice(choice);
  }

  build(): Fields {
    return {
      id: this.firstChunk.id,
      object: this.objectType,
      created: this.firstChunk.created ?? 0,
      model: this.firstChunk.model,
      choices: [...this.choices.keys()].sort((a, b) => a - b).map(i => this.choices.get(i)),
      usage: this.usage ?? null,
    };
  }

  private addChoice(choice: ChunkChoice): void {
    let merged = this.choices.get(choice.index);
    if (!merged) {
      const content = this.objectType === 'chat.completion' ? {message: {}} : {text: ''};
      merged = {index: choice.index, ...content, finish_reason: null, logprobs: null};
      this.choices.set(choice.index, merged);
    }
    if (choice.text) merged.text = String(merged.text) + choice.text;
    if (choice.delta) mergeDelta(merged.message as Fields, choice.delta);
    if (choice.finish_reason) merged.finish_reason = choice.finish_reason;
  }
}

/** Appends strings and merges lists by `index` and objects by field, as OpenAI's clients do. */
function mergeDelta(target: Fields, delta: Fields): void {
  for (const [name, value] of Object.entries(delta)) {
    if (value === null || value === undefined) continue;
    const current = target[name];
    if (name === 'role' || name === 'id' || name === 'type') target[name] = value;
    else if (typeof value === 'string') {
      target[name] = (typeof current === 'string' ? current : '') + value;
    } else if (Array.isArray(value)) {
      target[name] = mergeList(Array.isArray(current) ? (current as Fields[]) : [], value);
    } else if (typeof value === 'object') {
      const object = isPlainObject(current) ? (current as Fields) : {};
      mergeDelta(object, value as Fields);
      target[name] = object;
    } else target[name] = value;
  }
}

/** Highest list index in a delta; bounds the memory that an engine can make the host allocate. */
const MAX_LIST_INDEX = 1023;

function mergeList(current: Fields[], items: unknown[]): Fields[] {
  for (const item of items) {
    if (!isPlainObject(item)) throw new Error('list in a delta: expected objects');
    const {index: explicitIndex, ...fields} = item as Fields;
    const index = Number(explicitIndex ?? current.length);
    if (!Number.isInteger(index) || index < 0 || index > MAX_LIST_INDEX) {
      throw new Error(`list in a delta: index ${String(explicitIndex)} is out of range`);
    }
    current[index] ??= {};
    mergeDelta(current[index], fields);
  }
  return current;
}
