"""What a server can copy of a prompt from the cache of another one instead of reading it."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from redwingbank.front.backends import Backend
    from redwingbank.front.values import PromptPart, ServerEntry

# Shorter parts are read sooner than a copy is set up.
MIN_COPIED_TOKENS = 512


class Copy(NamedTuple):
    """Prompt tokens that a server copies from the cache of another one instead of reading."""

    source: ServerEntry
    tokens: int


class CachedPrompt(NamedTuple):
    """How much of a prompt is cached: at one server, the most at any, and what can be copied."""

    on_server: int
    maximum: int
    copy: Copy | None


def copied_tokens(read_tokens: int, held_tokens: int) -> int:
    """Return how many tokens a server copies that holds less than another one has read.

    >>> copied_tokens(6000, 0), copied_tokens(6000, 5800)
    (6000, 0)
    """
    tokens = read_tokens - held_tokens
    return tokens if tokens >= MIN_COPIED_TOKENS else 0


def copy_sources(
    candidates: Sequence[Backend], parts: Sequence[PromptPart]
) -> dict[str, list[Copy]]:
    """Return the servers of each software version that have read the most of the shared parts.

    What servers of two versions keep in memory does not fit together.
    """
    sources_by_version: dict[str, list[Copy]] = {}
    for backend in candidates:
        tokens = backend.load.cache.read_tokens(parts)
        sources = sources_by_version.setdefault(backend.entry.version, [])
        if sources and tokens > sources[0].tokens:
            sources.clear()
        if tokens and (not sources or tokens == sources[0].tokens):
            sources.append(Copy(backend.entry, tokens))
    return sources_by_version


def best_copy(
    backend: Backend, held_tokens: int, sources_by_version: Mapping[str, Sequence[Copy]]
) -> Copy | None:
    """Return what a server can copy beyond what it holds, from its own data centre if possible."""
    sources = sources_by_version.get(backend.entry.version)
    if not sources or not copied_tokens(sources[0].tokens, held_tokens):
        return None
    data_centre = backend.entry.data_centre
    near = (copy for copy in sources if copy.source.data_centre == data_centre)
    source = next(near, sources[0]).source
    return Copy(source, sources[0].tokens - held_tokens)


__all__ = ["CachedPrompt", "Copy", "best_copy", "copied_tokens", "copy_sources"]
