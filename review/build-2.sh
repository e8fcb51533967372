#!/bin/sh
# Checks the stand-ins and the cases 4 and 5, which are plain JavaScript: nothing has to be compiled or installed.
# The program itself is built by the command of deploy/service.toml.
set -eu
cd "$(dirname "$0")"
for file in standins-2/*.mjs 4/run.mjs 5/run.mjs; do
  [ -f "$file" ] && node --check "$file"
done
