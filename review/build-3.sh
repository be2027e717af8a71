#!/usr/bin/env bash
# Checks that the stand-ins and the scripts of the cases can be loaded; they have nothing to build.
set -euo pipefail
cd "$(dirname "$0")"
export PYTHONDONTWRITEBYTECODE=1
python3 - standins3/*.py 1[1-5]/*.py <<'PYTHON'
import sys
from pathlib import Path

for name in sys.argv[1:]:
    if Path(name).exists():
        compile(Path(name).read_text(), name, "exec")
PYTHON
PYTHONPATH=. python3 -c "import standins3.client, standins3.runner, standins3.scene, standins3.store"
