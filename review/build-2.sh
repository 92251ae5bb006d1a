#!/bin/sh
# Builds the stand-ins that the scripts of review/6 to review/10 start, after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
node review/stand-ins-2/build.mjs
