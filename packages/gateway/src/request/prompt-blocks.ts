import {createHash} from 'node:crypto';

/** Engines cache prompts in blocks of about 2000 tokens of about 4 bytes each. */
const BLOCK_BYTES = 8000;
const MAX_BLOCKS = 64;

/**
 * Returns the ids of the full blocks of a prompt, in order. Each id is a hash of all text up to the
 * end of its block, so equal ids mean equal prefixes. Blocks of different teams never match because
 * cached prompts aren't shared between teams.
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
