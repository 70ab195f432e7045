#!/usr/bin/env node
// npm links this file before the first build has made the program that it starts.
import '../dist/src/main.js';
