#!/bin/sh
# The stand-ins of the cases are Python scripts for the interpreter that meson, of the deploy file's packages,
# brings along: nothing is compiled, only its presence and the syntax are checked.
set -eu
cd "$(dirname "$0")"
for file in standin/*.py */case.py; do
	/usr/bin/python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
