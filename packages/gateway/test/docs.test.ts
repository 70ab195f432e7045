import {readFileSync} from 'node:fs';
import {parametersSchema, routeSchema, targetSchema, modelSchema} from '@radishgw/config';
import {LOG_EVENTS} from '@radishgw/core';
import {expect} from 'chai';

function readDoc(name: string): string {
  return readFileSync(new URL(`../../../../docs/${name}`, import.meta.url), 'utf8');
}

describe('documentation', () => {
  it('lists every log event with its number, level and text', () => {
    // Guards against a list of events that is incomplete or out of date.
    const listed = [
      ...readDoc('EVENTS.md').matchAll(/^\| (\d+) +\| `(\w+)` +\| (\w+) +\| (.+?) +\|/gm),
    ]
      .map(match => match.slice(1, 5).join(' '))
      .sort();
    const expected = Object.entries(LOG_EVENTS)
      .map(([name, {number, level, text}]) => `${number} ${name} ${level} ${text}`)
      .sort();
    expect(listed).to.deep.equal(expected);
  });

  it('describes every field of the configuration', () => {
    // Guards against undocumented configuration fields.
    const text = readDoc('CONFIGURATION.md');
    for (const schema of [parametersSchema, routeSchema, targetSchema, modelSchema]) {
      for (const field of Object.keys(schema.shape)) {
        expect(text, `field ${field}`).to.include(`\`${field}\``);
      }
    }
  });

  it('describes every setting of the entry host', () => {
    // Guards against undocumented flags.
    const source = readFileSync(
      new URL('../../../gateway/src/settings.ts', import.meta.url),
      'utf8',
    );
    const flags = [...source.matchAll(/^ {6}'?([a-z][a-z-]+)'?: \{/gm)].map(match => match[1]);
    expect(flags.length).to.be.greaterThan(10);
    const text = readDoc('CONFIGURATION.md');
    for (const flag of flags) expect(text).to.include(`\`--${flag}\``);
  });
});
