#!/usr/bin/env node
import {RadishError} from '@radishgw/core';
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

const host = await startEntryHost(readSettings());
for (const signal of ['SIGTERM', 'SIGINT'] as const) {
  process.once(signal, () => {
    host.stop().then(
      () => process.exit(0),
      error => {
        process.stderr.write(`radishgw: ${String(error)}\n`);
        process.exit(1);
      },
    );
  });
}
