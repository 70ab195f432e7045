#!/usr/bin/env bash
# The stand-ins of the scripts are plain JavaScript files that need no build.
set -eu
cd "$(dirname "$0")"
node --check standin.mjs
for file in [1-5]/*.mjs; do node --check "$file"; done
