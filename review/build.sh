#!/usr/bin/env bash
# Builds the scripts of the cases and their stand-ins into build/review.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf build/review
npx --no-install esbuild review/[1-5]/play.ts \
  --bundle --format=esm --platform=node --target=node20 --outbase=review \
  --outdir=build/review --log-level=warning
