#!/bin/sh
# Exit code 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: no new version is started.
cd "$(dirname "$0")" || exit 2
test -x ../../.venv/bin/python || exit 2
exec ../../.venv/bin/python play.py
