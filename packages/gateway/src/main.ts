#!/usr/bin/env node
import {destroyClientSockets, RadishError} from '@radishgw/core';
import {hideBin} from 'yargs/helpers';
import {parseSettings, Settings} from './settings.js';
import {startEntryHost} from './wire.js';

/** Exit code for settings that are missing or invalid. */
const EXIT_SETTINGS = 2;

function readSettings(): Settings {
  try {
    return parseSettings(hideBin(process.argv));
  } catch (error) {
    const message = error instanceof RadishError ? error.message : String(error);
    process.stderr.write(`radishgw: ${message}\n`);
    process.exit(EXIT_SETTINGS);
  }
}

const host = await startEntryHost(readSettings(), () => process.exit(0));
process.on('exit', destroyClientSockets);
let stopping = false;
for (const signal of ['SIGTERM', 'SIGINT'] as const) {
  process.on(signal, () => {
    // A second signal must not cut off the requests that may finish after the first one.
    if (stopping) return;
    stopping = true;
    host.stop().then(
      () => process.exit(process.exitCode ?? 0),
      error => {
        process.stderr.write(`radishgw: ${String(error)}\n`);
        process.exit(1);
      },
    );
  });
}
process.on('SIGHUP', () => host.reload());
