#!/usr/bin/env bash
# Compiles the stand-ins and the cases to dist/review/.
cd "$(dirname "$0")/.." || exit 2
[ node_modules -nt package-lock.json ] || npm ci --silent
npm run --silent build
