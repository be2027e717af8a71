#!/bin/sh
# Builds the stand-ins that the scripts of cases 6 to 10 start. They need no library: each case
# folder holds its own, and this checks that Python can read them.
cd "$(dirname "$0")" || exit 1
for case in 6 7 8 9 10; do
    [ -d "$case" ] || continue
    for source in "$case"/*.py; do
        [ -e "$source" ] || continue
        python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$source" || exit 1
    done
done
