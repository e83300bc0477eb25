#!/bin/sh
# Plays the case; see claim.txt. Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")" || exit 2
export PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=../lib-2
exec timeout -k 5 115 python3 play.py
