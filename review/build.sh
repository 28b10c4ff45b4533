#!/usr/bin/env bash
# The stand-ins of the cases are plain JavaScript, which needs no build: this only checks their syntax.
set -euo pipefail
cd "$(dirname "$0")"
for file in standins/*.mjs [0-9]/*.mjs; do
    node --check "$file"
done
