#!/bin/sh
# Checks that the stand-ins of the second review can be started. They are Python
# programs beside the packages that the build of the deploy file puts under target/.
set -e
cd "$(dirname "$0")/.."
[ -d target/deps ] || { echo "run the build of deploy/system.toml first" >&2; exit 1; }
. review/standins-2/environment.sh
python3 -c "import harness, thistlegate_standin"
for script in review/[6-9]/case.py review/10/case.py; do
    [ -f "$script" ] || continue
    python3 -c "import ast, sys; ast.parse(open(sys.argv[1]).read())" "$script"
done
