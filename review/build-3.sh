#!/usr/bin/env bash
# Builds what the scripts of review/11 and later start beside the deploy file's build: their
# stand-ins, in dist/review/.
cd "$(dirname "$0")/.." || exit 2
npm run build
