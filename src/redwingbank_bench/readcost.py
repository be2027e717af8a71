"""Measures the processor time of reading one load report of a backend server."""

from __future__ import annotations

import json
import sys
import tempfile
import time
from pathlib import Path

import anyio

from redwingbank.ports.engine import BackendClient, EngineClient
from redwingbank.settings import Address, PeerKey, Settings
from redwingbank_bench.processes import ChildProcess, free_port

READS = 1000
RUNS = 3
MILLISECONDS = 1000.0
UNUSED_ADDRESS = Address("127.0.0.1", 1)


async def measure_read_ms(address: str) -> float:
    """Read the load `READS` times in sequence; return the processor time of one read."""
    keys = (PeerKey(1, b"a secret of the bench"),)
    client = BackendClient(
        Settings("bench", "clyde", UNUSED_ADDRESS, UNUSED_ADDRESS, UNUSED_ADDRESS, keys)
    )
    engines = EngineClient(client)
    await engines.read_load(address)
    began_s = time.process_time()
    for _ in range(READS):
        await engines.read_load(address)
    spent_s = time.process_time() - began_s
    await client.close()
    return spent_s * MILLISECONDS / READS


async def measure() -> list[float]:
    """Run against an engine stand-in in a separate process."""
    with tempfile.TemporaryDirectory() as folder:
        arguments = ["redwingbank_standins.engine", "--port", str(free_port())]
        engine = ChildProcess("engine", arguments, Path(folder))
        engine.start()
        try:
            address = await engine.address()
            return [await measure_read_ms(address) for _ in range(RUNS)]
        finally:
            engine.stop()


def main() -> int:
    """Print the runs, and JSON as the last line."""
    runs = sorted(anyio.run(measure))
    print(f"ms a read: {', '.join(f'{run:.3f}' for run in runs)}")
    print(json.dumps({"read_ms": {"median": runs[1], "least": runs[0], "largest": runs[-1]}}))
    return 0


if __name__ == "__main__":
    sys.exit(main())

__all__ = ["measure", "measure_read_ms"]
