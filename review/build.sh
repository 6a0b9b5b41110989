#!/bin/sh
# Builds the stand-ins that the scripts start: compiles the project's own and those of
# the review.  The libraries are those of the deploy file's build.
set -e
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps python3 -c "import httptools, msgspec, yaml"
python3 -m compileall -q standins review
