#!/usr/bin/env bash
# Builds the stand-ins that the scripts start, after the build of the deploy
# file: they are Python and use the libraries under target/deps only.
cd "$(dirname "$0")/.." || exit 1
PYTHONPATH=".:target/deps" python3 -c "import aiohttp, review.lib.cases" &&
    python3 -m compileall -q review/lib
