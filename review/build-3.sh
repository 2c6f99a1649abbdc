#!/usr/bin/env bash
# The scripts of review/11 to review/15 start only the programs that the deploy file builds. Their stand-ins are plain
# JavaScript in review/lib-3, which needs no build; this checks that they can be read.
set -euo pipefail
cd "$(dirname "$0")/.."
for file in review/lib-3/*.mjs review/1[1-5]/*.mjs; do
  node --check "$file"
done
