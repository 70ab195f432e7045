import {mkdtempSync, rmSync, utimesSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {expect} from 'chai';
import {LogFields, VirtualClock} from '@radishgw/core';
import {RelaySettings, watchSettings} from '../src/index.js';

const CHECK_INTERVAL_MS = 2000;

describe('settings watch', () => {
  const directory = mkdtempSync(join(tmpdir(), 'radishgw-settings-'));
  const path = join(directory, 'boot.yaml');
  after(() => rmSync(directory, {recursive: true}));

  /** Starts to watch a file that is valid if its text is `ok`. */
  function start() {
    const clock = new VirtualClock();
    const lines: {event: string; fields: LogFields}[] = [];
    let text = 'ok';
    let modifiedS = 1000;
    const write = (next: string) => {
      text = next;
      writeFileSync(path, next);
      utimesSync(path, ++modifiedS, modifiedS);
    };
    write('ok');
    const readSettings = () => {
      if (text !== 'ok') throw new Error('wrong field');
      return {hostId: 'host-1'} as unknown as RelaySettings;
    };
    const log = {
      write: (event: string, fields: LogFields = {}) => void lines.push({event, fields}),
    };
    return {clock, lines, write, signal: watchSettings(path, readSettings, clock, log)};
  }

  it('detects a change without a signal once', () => {
    // Guards against a change that goes unnoticed until the next start.
    const {clock, lines, write} = start();
    clock.advance(CHECK_INTERVAL_MS);
    expect(lines).to.deep.equal([]);
    write('ok');
    clock.advance(3 * CHECK_INTERVAL_MS);
    expect(lines).to.deep.equal([
      {event: 'settingsReloaded', fields: {cause: 'file changed', host: 'host-1'}},
    ]);
  });

  it('reads the file on a signal', () => {
    // Guards against ignoring a signal because the file appears unchanged.
    const {lines, signal} = start();
    signal();
    expect(lines.map(line => line.fields.cause)).to.deep.equal(['signal']);
  });

  it('reports an invalid or missing file and continues', () => {
    // Guards against a host that exits, or stops polling, because of an invalid file.
    const {clock, lines, write} = start();
    write('wrong');
    clock.advance(CHECK_INTERVAL_MS);
    rmSync(path);
    clock.advance(CHECK_INTERVAL_MS);
    write('ok');
    clock.advance(CHECK_INTERVAL_MS);
    const events = lines.map(line => line.event);
    expect(events).to.deep.equal(['settingInvalid', 'settingInvalid', 'settingsReloaded']);
    expect(lines[0].fields.detail).to.contain('wrong field');
  });
});
