#!/usr/bin/env bash
# The stand-ins of cases 6 to 10 are plain JavaScript without dependencies; this only checks that all of them parse.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib-2/*.mjs 6/case.mjs 7/case.mjs 8/case.mjs 9/case.mjs 10/case.mjs; do
  if [ -f "$file" ]; then node --check "$file"; fi
done
