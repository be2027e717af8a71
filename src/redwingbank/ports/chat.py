"""A chat completion as the usual clients of the OpenAI protocol send it."""

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

MILLISECONDS = 1000.0
FINGERPRINT_BYTES = 12
CHARACTERS_A_TOKEN = 4


class Chat(NamedTuple):
    """A checked chat completion: `body` goes to the engine, `stream` to the caller."""

    model: str
    stream: bool
    body: bytes
    text: str


def parse_chat(data: bytes) -> Chat | Refusal:
    """Check the fields the router needs; the engine checks the rest."""
    try:
        document = json.loads(data)
    except (ValueError, RecursionError):
        return Refusal(Code.NOT_JSON)
    if not isinstance(document, dict):
        return Refusal(Code.NOT_JSON)
    fault = _fault(document)
    if fault:
        return Refusal(Code.BAD_FIELD, fault)
    text = prompt_text(document["messages"])
    stream = document.get("stream") is True
    body = data if stream else _streamed(document)
    return Chat(document["model"], stream, body, text)


def _fault(document: dict[str, Any]) -> str:
    messages = document.get("messages")
    checks = (
        ("model: a string", isinstance(document.get("model"), str)),
        ("messages: a list with a message or more", isinstance(messages, list) and messages),
        ("messages: objects with a role", _has_roles(messages)),
        ("stream: true or false", isinstance(document.get("stream", False), bool)),
        ("n: 1", document.get("n", 1) in {1, None}),
    )
    return next((expected for expected, right in checks if not right), "")


def _has_roles(messages: Any) -> bool:
    if not isinstance(messages, list):
        return False
    return all(isinstance(item, dict) and isinstance(item.get("role"), str) for item in messages)


def _streamed(document: dict[str, Any]) -> bytes:
    """Ask the engine for a stream, so that a whole answer can be resumed too."""
    options = {"stream": True, "stream_options": {"include_usage": True}}
    return json.dumps(document | options, separators=(",", ":")).encode()


def fingerprint_of(organisation: str, data: bytes) -> str:
    """Name a body of an organisation; equal bodies have equal names."""
    digest = hashlib.blake2b(data, digest_size=FINGERPRINT_BYTES, key=organisation.encode()[:64])
    return digest.hexdigest()


def request_of(chat: Chat, admitted: Admitted, request_id: str, now_s: float) -> Request:
    """Tell the rules of a chat completion."""
    row = admitted.service_class
    return Request(
        request_id=request_id,
        organisation=admitted.organisation.name,
        class_name=row.name,
        tier=row.tier,
        pool=chat.model,
        arrived_s=now_s,
        deadline_s=now_s + row.first_token_ms / MILLISECONDS,
        give_up_s=now_s + row.give_up_s,
        prompt_tokens=max(1, len(chat.text) // CHARACTERS_A_TOKEN),
        fingerprint=fingerprint_of(admitted.organisation.name, chat.text.encode()),
        blocks=block_hashes(chat.text),
    )


__all__ = ["Chat", "fingerprint_of", "parse_chat", "request_of"]
