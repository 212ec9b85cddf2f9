#!/bin/sh
# Prepares the stand-ins of the scripts. They are plain modules without a build step, so they are only checked.
cd "$(dirname "$0")" || exit 1
for file in standins/*.mjs */run.mjs; do
    node --check "$file" || exit 1
done
