#!/bin/sh
# Builds the stand-ins of the review: they are Python and need the standard library alone.
set -eu
cd "$(dirname "$0")"
../.venv/bin/python -m compileall -q support 1 2 3
