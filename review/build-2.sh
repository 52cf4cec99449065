#!/bin/sh
# Builds the stand-ins of cases 6 to 10: they are Python of the standard library alone, so that only their
# bytecode is made. Run after the build of the deploy file.
cd "$(dirname "$0")/.." || exit 1
exec .venv/bin/python -m compileall -q review/standins review/6 review/7 review/8 review/9 review/10
