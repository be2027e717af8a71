"""Runs a front whose outgoing connections come from an address of its own.

The hosts of a soak share one machine; by this address a proxy tells them apart.
"""

from __future__ import annotations

import asyncio
import os
import sys
from functools import partialmethod

from redwingbank.front.__main__ import run

SOURCE_VARIABLE = "REDWINGBANK_SOAK_SOURCE"

if __name__ == "__main__":
    source = (os.environ[SOURCE_VARIABLE], 0)
    loop_class = asyncio.SelectorEventLoop
    bound = partialmethod(loop_class.create_connection, local_addr=source)
    loop_class.create_connection = bound  # type: ignore[method-assign, assignment]
    sys.exit(run())

__all__ = ["SOURCE_VARIABLE"]
