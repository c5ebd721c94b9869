#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held and 2 if the case couldn't run.
# Writes what was sent, answered and run to record.txt; TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
. review/standins-2/environment.sh
exec timeout -s INT 115 python3 "review/9/case.py"
