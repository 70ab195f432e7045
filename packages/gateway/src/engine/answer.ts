/** Token counts of an answer, as the engine reports them. */
export interface TokenUsage {
  readonly promptTokens: number;
  readonly outputTokens: number;
}

interface Chunk {
  id?: string;
  model?: string;
  created?: number;
  choices?: ChunkChoice[];
  usage?: {prompt_tokens: number; completion_tokens: number; total_tokens: number} | null;
}

interface ChunkChoice {
  index: number;
  delta?: Record<string, unknown>;
  text?: string;
  finish_reason?: string | null;
}

type Fields = Record<string, unknown>;

/** Builds the answer of a non-streaming call from the chunks of a stream. */
export class AnswerBuilder {
  private head: Chunk = {};
  private readonly choices = new Map<number, Fields>();
  private usage: Chunk['usage'];

  constructor(private readonly kind: 'chat.completion' | 'text_completion') {}

  /** Adds one chunk; returns the number of output tokens it may hold (one for each content chunk). */
  add(data: string): number {
    const chunk = JSON.parse(data) as Chunk;
    if (!this.head.id) this.head = chunk;
    if (chunk.usage) this.usage = chunk.usage;
    for (const choice of chunk.choices ?? []) this.addChoice(choice);
    return chunk.choices?.length ?? 0;
  }

  getUsage(): TokenUsage | undefined {
    if (!this.usage) return undefined;
    return {
      promptTokens: this.usage.prompt_tokens,
      outputTokens: this.usage.completion_tokens,
    };
  }

  build(): Fields {
    return {
      id: this.head.id,
      object: this.kind,
      created: this.head.created ?? 0,
      model: this.head.model,
      choices: [...this.choices.keys()].sort((a, b) => a - b).map(i => this.choices.get(i)),
      usage: this.usage ?? null,
    };
  }

  private addChoice(choice: ChunkChoice): void {
    let merged = this.choices.get(choice.index);
    if (!merged) {
      const content = this.kind === 'chat.completion' ? {message: {}} : {text: ''};
      merged = {index: choice.index, ...content, finish_reason: null, logprobs: null};
      this.choices.set(choice.index, merged);
    }
    if (choice.text) merged.text = String(merged.text) + choice.text;
    if (choice.delta) mergeDelta(merged.message as Fields, choice.delta);
    if (choice.finish_reason) merged.finish_reason = choice.finish_reason;
  }
}

/** Appends strings, merges lists by `index` and objects by field, as OpenAI's clients do. */
function mergeDelta(target: Fields, delta: Fields): void {
  for (const [name, value] of Object.entries(delta)) {
    if (value === null || value === undefined) continue;
    const current = target[name];
    if (name === 'role' || name === 'id' || name === 'type') target[name] = value;
    else if (typeof value === 'string') target[name] = ((current as string) ?? '') + value;
    else if (Array.isArray(value)) target[name] = mergeList((current as Fields[]) ?? [], value);
    else if (typeof value === 'object') {
      const object = (current as Fields) ?? {};
      mergeDelta(object, value as Fields);
      target[name] = object;
    } else target[name] = value;
  }
}

function mergeList(current: Fields[], items: Fields[]): Fields[] {
  for (const item of items) {
    const index = Number(item.index ?? current.length);
    const {index: _, ...fields} = item;
    void _;
    current[index] ??= {};
    mergeDelta(current[index], fields);
  }
  return current;
}
