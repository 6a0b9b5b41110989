#!/bin/sh
# Builds the stand-ins of the cases 6 to 10, which need Python's standard library only.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q lib2 6 7 8 9 10
