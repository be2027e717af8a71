"""Entry point of `python -m redwingbank.front`."""

from __future__ import annotations

import sys

from redwingbank.front.program import main

if __name__ == "__main__":
    sys.exit(main())
