"""What requests and connections cost a process, in bytes of its memory."""

from __future__ import annotations

# An open connection: the transport, the parser, and what the router knows of the caller.
CONNECTION_BYTES = 8 * 1024
# A header line beside its bytes: a pair of byte strings, and its place in the head.
LINE_BYTES = 150
# A request that is being served, beside its head and body.
REQUEST_BYTES = 16 * 1024
# A part of a prompt: its name, its length, and what is remembered of it while the request runs.
PROMPT_PART_BYTES = 600
# A body that is sent is copied to the connection's buffer, at most so much of it at a time.
SEND_BUFFER_BYTES = 128 * 1024


def head_bytes(lines: int, line_bytes: int) -> int:
    """Return the cost of a head of so many lines, which have so many bytes together.

    The bytes count twice: the lines that go to a server are kept beside the parsed ones.

    >>> head_bytes(lines=12, line_bytes=500)
    2800
    """
    return lines * LINE_BYTES + 2 * line_bytes


def sent_body_bytes(size: int) -> int:
    """Return the cost of a body while it is sent."""
    return size + min(size, SEND_BUFFER_BYTES)


__all__ = [
    "CONNECTION_BYTES",
    "PROMPT_PART_BYTES",
    "REQUEST_BYTES",
    "head_bytes",
    "sent_body_bytes",
]
