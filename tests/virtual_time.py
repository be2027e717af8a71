"""Runs a coroutine on an event loop whose time jumps to the next timer instead of passing."""

from __future__ import annotations

import asyncio
import selectors


class JumpingSelector(selectors.DefaultSelector):
    """Adds the time that the loop would wait to `passed_s`; does not wait."""

    def __init__(self):
        super().__init__()
        self.passed_s = 0.0

    def select(self, timeout=None):
        ready = super().select(0)
        if not ready and timeout is not None:
            self.passed_s += max(0.0, timeout)
        return ready


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """An event loop for code without input and output; work takes no time on it."""

    def __init__(self):
        self._jumping = JumpingSelector()
        super().__init__(self._jumping)

    def time(self):
        return self._jumping.passed_s


def run(main):
    """Run a coroutine to its end, in virtual time."""
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        return runner.run(main)
