#!/bin/bash
# The stand-ins are plain JavaScript for Node.js 20 without libraries: nothing is built, only their syntax is checked.
set -e
cd "$(dirname "$0")"
for file in lib/*.mjs [1-5]/*.mjs; do node --check "$file"; done
