#!/bin/sh
# Builds the stand-ins of the cases 4 to 8. They are plain modules for Node.js without dependencies, so that nothing is
# compiled; their syntax is checked.
set -e
cd "$(dirname "$0")"
for file in standins-2/*.mjs [4-8]/case.mjs; do
    node --check "$file"
done
