#!/bin/bash
# Builds the stand-ins that the scripts of cases 6 to 10 start. They are plain
# modules for Node.js in review/lib-2 and need no compilation and no package, so
# this only checks that Node.js can parse them and the cases.
cd "$(dirname "$0")" || exit 1
for file in lib-2/*.mjs [6-9]/*.mjs 10/*.mjs; do
  if [ -e "$file" ]; then
    node --check "$file" || exit 1
  fi
done
