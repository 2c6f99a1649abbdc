#!/usr/bin/env bash
# The stand-ins are plain JavaScript without dependencies; this checks that the machine can run them.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib/*.mjs */case.mjs; do node --check "$file"; done
chmod +x */run.sh
