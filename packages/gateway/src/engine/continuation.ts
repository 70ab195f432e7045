import {ModelRequest, ModelRequestPath} from '../request/body.js';

/** The delivered part of a completion whose engine was lost. */
export interface DeliveredText {
  readonly text: string;
  /** Number of delivered output tokens; engines send one per content event. */
  readonly tokens: number;
}

/**
 * Request fields with which a completion that is continued from its text is equivalent to an
 * uninterrupted one. Others, such as tools, stop sequences, penalties, a seed or a grammar, depend
 * on state that the text doesn't contain.
 */
const CONTINUABLE_FIELDS = new Set([
  'model',
  'messages',
  'prompt',
  'stream',
  'stream_options',
  'max_tokens',
  'max_completion_tokens',
  'temperature',
  'top_p',
  'top_k',
  'min_p',
  'user',
  'metadata',
  'store',
  'service_tier',
]);

type Fields = Record<string, unknown>;

/**
 * Builds a request that makes another engine continue after `delivered`: the text becomes the start
 * of the assistant's message, or the end of the prompt of a text completion. Returns undefined if
 * the result might not be equivalent to an uninterrupted completion.
 */
export function buildContinuation(
  path: ModelRequestPath,
  request: ModelRequest,
  maxTokens: number,
  delivered: DeliveredText,
): Fields | undefined {
  const remainingTokens = maxTokens - delivered.tokens;
  if (remainingTokens <= 0 || !isContinuable(request)) return undefined;
  const {max_tokens: _, max_completion_tokens: __, ...fields} = request as Fields;
  void [_, __];
  if (path === '/v1/completions') {
    if (typeof fields.prompt !== 'string') return undefined;
    return {...fields, prompt: fields.prompt + delivered.text, max_tokens: remainingTokens};
  }
  const messages = fields.messages as Fields[];
  if (messages.at(-1)?.role === 'assistant') return undefined;
  return {
    ...fields,
    messages: [...messages, {role: 'assistant', content: delivered.text}],
    continue_final_message: true,
    add_generation_prompt: false,
    max_tokens: remainingTokens,
  };
}

function isContinuable(request: ModelRequest): boolean {
  return Object.entries(request).every(
    ([name, value]) =>
      CONTINUABLE_FIELDS.has(name) ||
      value === null ||
      value === undefined ||
      (name === 'n' && value === 1),
  );
}
