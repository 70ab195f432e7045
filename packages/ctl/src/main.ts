#!/usr/bin/env node
import {hideBin} from 'yargs/helpers';
import {runProgram} from './program.js';

process.exitCode = await runProgram(hideBin(process.argv));
