#!/usr/bin/env node
// npm links this file at installation, before the first build creates the program it imports.
import '../dist/src/main.js';
