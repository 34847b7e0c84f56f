#!/bin/sh
# After the build of the deploy file. The stand-ins are scripts that need the standard library alone. Case 2 switches
# on the members and copies of an operator's file, for which the project names its own requirements.
cd "$(dirname "$0")/.." || exit 2
.venv/bin/python -c 'import crc32c, msgspec' 2>/dev/null || sh deploy/build requirements-fleet.txt ||
    echo "case 2 cannot run without what requirements-fleet.txt names" >&2
exec .venv/bin/python -m compileall -q review
