#!/usr/bin/env bash
# Compiles the stand-ins and the cases of this review to dist/review/.
set -euo pipefail
cd "$(dirname "$0")/.."
npm run --silent build
