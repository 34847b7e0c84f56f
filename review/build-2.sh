#!/bin/sh
# Builds what the scripts of review/6 to 10 start: the program with the packages of its members and copies, as
# requirements-fleet.txt names them, and checks that the stand-ins can be read.
set -eu
cd "$(dirname "$0")/.."
sh deploy/build requirements-fleet.txt
for file in review/parts_2.py review/thin_2.py review/[6-9]/play.py review/10/play.py; do
    .venv/bin/python -B -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read())' "$file"
done
