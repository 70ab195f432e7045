#!/usr/bin/env bash
# Checks what the cases start: the program of the deploy file and the stand-ins, which need no build.
set -e
cd "$(dirname "$0")/.."
[ -f target/radishgw.mjs ] || npm run --silent build:deploy
for file in review/standin-3*.mjs review/1[1-5]/*.mjs; do
  [ ! -f "$file" ] || node --check "$file"
done
