import {VirtualClock} from '@radishgw/core';
import {expect} from 'chai';
import {createTargetState, partsPerTarget, recordParts} from '../src/targets/target-state.js';
import {makeEntry, makeParts} from './fixtures.js';

describe('parts of prompts that targets have in their caches', () => {
  it('are bounded over all targets, those sent last kept', () => {
    // Guards against a bound for each target that doesn't limit a host with many of them.
    const nowMs = new VirtualClock(new Date(0)).nowMs();
    for (const targetCount of [1, 13, 100, 12_000]) {
      const state = createTargetState(makeEntry('server'), nowMs);
      const parts = makeParts(...Array.from({length: 3000}, (_, i) => [`${i}`, 16] as const));
      recordParts(state, parts, nowMs, partsPerTarget(targetCount));
      const maxParts = Math.min(2000, Math.ceil(100_000 / targetCount));
      expect(state.partsMs.size).to.equal(maxParts);
      expect(state.partsMs.has(parts.at(-1)!.id)).to.equal(true);
    }
  });
});
