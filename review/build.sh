#!/bin/sh
# The stand-ins are Python on the standard library alone: check that they compile.
cd "$(dirname "$0")" && exec python3 -c "
import pathlib
for path in sorted(pathlib.Path('.').rglob('*.py')):
    compile(path.read_text(), str(path), 'exec')
"
