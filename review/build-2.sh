#!/bin/sh
# The stand-ins of the scripts in review/4 to review/6 are in Python and need no build. Python 3.11
# or later is there with meson, which the deploy file lists. This only checks that they compile.
cd "$(dirname "$0")" || exit 1
for file in standin-2/deployment.py 4/case.py 5/case.py 6/case.py; do
	[ ! -f "$file" ] || python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file" || exit 1
done
python3 -B -c 'import asyncio, tomllib'
