#!/bin/sh
# The stand-ins of the scripts are plain Node.js modules in review/site.mjs and beside each script. They
# need no build; the programs under test come from the build of deploy/system.toml.
exit 0
