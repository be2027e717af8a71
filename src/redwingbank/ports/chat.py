"""Parses chat completion requests of the OpenAI protocol."""

from __future__ import annotations

import hashlib
import json
from typing import TYPE_CHECKING, Any, NamedTuple

from redwingbank.codes import Code
from redwingbank.model import Request
from redwingbank.ports.http import Refusal
from redwingbank.rules.blocks import block_hashes, prompt_text

if TYPE_CHECKING:
    from redwingbank.ports.admission import Admitted

MS_PER_S = 1000.0
FINGERPRINT_BYTES = 12
PART_FINGERPRINT_BYTES = 8
# Later messages of a long conversation are shared by no other one.
MAX_PARTS = 32
CHARACTERS_PER_TOKEN = 4


class Chat(NamedTuple):
    """A validated chat completion request.

    `body` is the request body for the engine, `stream` whether the caller asked for a
    stream, `text` the prompt. `parts` are the fingerprints of the messages before the last one,
    from the last to the first.
    """

    model: str
    stream: bool
    body: bytes
    text: str
    parts: tuple[str, ...] = ()


def parse_chat(data: bytes) -> Chat | Refusal:
    """Parse a request body and validate the fields that the router needs."""
    try:
        return _read_chat(data)
    except (ValueError, RecursionError):
        # also half surrogates, and nesting that can be decoded but not encoded again
        return Refusal(Code.NOT_JSON)


def _read_chat(data: bytes) -> Chat | Refusal:
    document = json.loads(data)
    if not isinstance(document, dict):
        return Refusal(Code.NOT_JSON)
    invalid_field = _find_invalid_field(document)
    if invalid_field:
        return Refusal(Code.BAD_FIELD, invalid_field)
    model, text = document["model"], prompt_text(document["messages"])
    (model + text).encode()
    stream = document.get("stream") is True
    body = data if stream else _request_stream(document)
    return Chat(model, stream, body, text, _part_fingerprints(document["messages"]))


def _find_invalid_field(document: dict[str, Any]) -> str:
    messages = document.get("messages")
    checks = (
        ("model: a string", isinstance(document.get("model"), str)),
        ("messages: a list with a message or more", isinstance(messages, list) and messages),
        ("messages: objects with a role", _has_roles(messages)),
        ("stream: true or false", isinstance(document.get("stream", False), bool)),
        ("n: 1", document.get("n", 1) in (1, None)),
    )
    return next((expected for expected, valid in checks if not valid), "")


def _has_roles(messages: Any) -> bool:
    if not isinstance(messages, list):
        return False
    return all(isinstance(item, dict) and isinstance(item.get("role"), str) for item in messages)


def _request_stream(document: dict[str, Any]) -> bytes:
    """Request a stream from the engine, so that a non-streamed answer can be resumed too."""
    options = {"stream": True, "stream_options": {"include_usage": True}}
    return json.dumps(document | options, separators=(",", ":")).encode()


def _part_fingerprints(messages: list[dict[str, Any]]) -> tuple[str, ...]:
    texts = [prompt_text([message]) for message in messages[:-1][:MAX_PARTS]]
    return tuple(
        hashlib.blake2b(text.encode(), digest_size=PART_FINGERPRINT_BYTES).hexdigest()
        for text in reversed(dict.fromkeys(texts))
        if text
    )


def compute_fingerprint(organisation: str, data: bytes) -> str:
    """Hash a body with its organisation; equal bodies of one organisation hash the same."""
    digest = hashlib.blake2b(data, digest_size=FINGERPRINT_BYTES, key=organisation.encode()[:64])
    return digest.hexdigest()


def build_request(chat: Chat, admitted: Admitted, request_id: str, now_s: float) -> Request:
    """Build the request that is queued for a chat completion."""
    row = admitted.service_class
    return Request(
        request_id=request_id,
        organisation=admitted.organisation.name,
        class_name=row.name,
        tier=row.tier,
        pool=chat.model,
        arrived_s=now_s,
        deadline_s=now_s + row.first_token_ms / MS_PER_S,
        give_up_s=now_s + row.give_up_s,
        prompt_tokens=max(1, len(chat.text) // CHARACTERS_PER_TOKEN),
        fingerprint=compute_fingerprint(admitted.organisation.name, chat.text.encode()),
        blocks=block_hashes(chat.text),
        parts=chat.parts,
    )


__all__ = ["Chat", "build_request", "compute_fingerprint", "parse_chat"]
