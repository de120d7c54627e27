#!/bin/bash
# The stand-ins are plain modules of Node.js without dependencies: nothing has to be compiled. Checks their syntax.
cd "$(dirname "$0")" || exit 2
for file in standins/*.mjs [0-9]*/*.mjs; do
  node --check "$file" || exit 1
done
