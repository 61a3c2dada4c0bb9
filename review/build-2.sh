#!/bin/sh
# Builds the stand-ins that the scripts of cases 6 to 10 start: those of the project, which are in
# the packages. Runs after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
npx tsc -b
