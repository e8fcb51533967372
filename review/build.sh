#!/usr/bin/env bash
# Builds the stand-ins: they are plain JavaScript modules, so that there is only their syntax to check. The controllers
# that they start are built by the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
for file in standins/*.mjs [1-3]/*.mjs; do node --check "$file"; done
