"""Makes a method raise an unexpected error once."""

from __future__ import annotations

SECRET = "text of a prompt"


def fail_once(owner, name):
    """Make a method raise an error on its next call."""
    method = getattr(owner, name)

    def failing(*arguments, **keywords):
        setattr(owner, name, method)
        raise RuntimeError(SECRET)

    setattr(owner, name, failing)
