import {createHash} from 'node:crypto';

/** Engines keep prompts in blocks of about two thousand tokens of about four bytes. */
const BLOCK_BYTES = 8000;
const MAX_BLOCKS = 64;

/**
 * Ids of the full blocks of a prompt, in order. Each id covers all text up to its end, so equal ids
 * mean an equal prefix. Blocks of different teams never match: cached prompts aren't shared.
 */
export function hashPromptBlocks(teamId: string, prompt: string): string[] {
  const blocks: string[] = [];
  let previous = teamId;
  const count = Math.min(MAX_BLOCKS, Math.floor(prompt.length / BLOCK_BYTES));
  for (let i = 0; i < count; i++) {
    const text = prompt.slice(i * BLOCK_BYTES, (i + 1) * BLOCK_BYTES);
    previous = createHash('sha1').update(previous).update(text).digest('base64').slice(0, 16);
    blocks.push(previous);
  }
  return blocks;
}
