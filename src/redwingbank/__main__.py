"""Entry point of `python -m redwingbank`."""

from __future__ import annotations

from redwingbank.run import main

if __name__ == "__main__":
    main()
