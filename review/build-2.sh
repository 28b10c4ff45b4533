#!/usr/bin/env bash
# Builds the stand-ins that the scripts of cases 4 and later start. They run as they are, without a compiler and without
# packages, so this only checks that Node.js can parse them.
set -euo pipefail
cd "$(dirname "$0")"
for file in standins-2/*.mjs [4-6]/*.mjs; do
    node --check "$file"
done
