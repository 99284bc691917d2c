#!/usr/bin/env bash
# The stand-ins are plain modules of Node.js: nothing is compiled, only checked. The hosts come from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib-2/*.mjs {6,7,8,9,10}/*.mjs; do
  [ ! -e "$file" ] || node --check "$file"
done
