#!/bin/sh
# Builds what the scripts start beside the deployed program: the stand-ins are plain modules, which are only checked.
set -e
cd "$(dirname "$0")/.."
[ -f target/samphireglade-node.mjs ] || node deploy/build.mjs
for file in review/stand-ins/*.mjs review/*/case.mjs; do node --check "$file"; done
