"""Authenticated encryption of messages between daemons: key rotation and replay windows."""

from __future__ import annotations

import os
from collections import OrderedDict
from typing import TYPE_CHECKING, NamedTuple

from cryptography.exceptions import InvalidTag
from cryptography.hazmat.primitives.ciphers.aead import ChaCha20Poly1305
from cryptography.hazmat.primitives.hashes import SHA256
from cryptography.hazmat.primitives.kdf.hkdf import HKDF

if TYPE_CHECKING:
    from redwingbank.settings import PeerKey

KEY_BYTES = 32
NONCE_BYTES = 12
HEADER_BYTES = 1 + NONCE_BYTES
TAG_BYTES = 16
KEY_DERIVATION_INFO = b"redwingbank peer messages 1"
WINDOW_MESSAGES = 1024
MAX_SENDERS = 8192


def _derive_cipher(secret: bytes) -> ChaCha20Poly1305:
    derivation = HKDF(algorithm=SHA256(), length=KEY_BYTES, salt=None, info=KEY_DERIVATION_INFO)
    return ChaCha20Poly1305(derivation.derive(secret))


class KeyRing:
    """Seals messages with the first key and opens them with any key, so that keys can rotate.

    To rotate, add the new key last on every host, then move it to the front on every
    host, then remove the old key on every host. A sealed message consists of the key's
    number (one byte), a random nonce, and the ciphertext with its tag. `context` is
    authenticated but not sent: it binds a message to its recipient, so that it can't be
    replayed to another host.

    >>> ring = KeyRing((PeerKey(1, b"0123456789abcdef"),))
    >>> ring.open(ring.seal(b"text", b"10.0.0.1:7080"), b"10.0.0.1:7080")
    b'text'
    """

    def __init__(self, keys: tuple[PeerKey, ...]) -> None:
        self._cipher_by_number = {key.number: _derive_cipher(key.secret) for key in keys}
        self._number = keys[0].number

    def seal(self, payload: bytes, context: bytes) -> bytes:
        """Encrypt and authenticate a payload."""
        nonce = os.urandom(NONCE_BYTES)
        sealed = self._cipher_by_number[self._number].encrypt(nonce, payload, context)
        return bytes([self._number]) + nonce + sealed

    def open(self, data: bytes, context: bytes) -> bytes | None:
        """Decrypt a payload; None if it was not sealed for this context with a known key."""
        if len(data) < HEADER_BYTES + TAG_BYTES:
            return None
        cipher = self._cipher_by_number.get(data[0])
        if cipher is None:
            return None
        try:
            return cipher.decrypt(data[1:HEADER_BYTES], data[HEADER_BYTES:], context)
        except InvalidTag:
            return None


def extract_nonce(data: bytes) -> bytes:
    """Return a sealed message's nonce, which identifies it."""
    return data[1:HEADER_BYTES]


class _Window(NamedTuple):
    """The highest sequence number seen, and a bitmap of the ones below; bit 0 is the highest."""

    incarnation: int
    highest: int
    seen: int


class ReplayWindows:
    """Rejects replayed messages, per sender.

    A message is rejected if its sequence number was seen before, lies `WINDOW_MESSAGES` or
    more below the highest, or belongs to an older incarnation of its sender. Reordering
    within the window is accepted. Beyond `MAX_SENDERS` the least recently heard sender is
    evicted.
    """

    def __init__(self) -> None:
        self._window_by_sender: OrderedDict[str, _Window] = OrderedDict()

    def accept(self, sender: str, incarnation: int, sequence: int) -> bool:
        """Record a message; false if it is a replay."""
        window = self._window_by_sender.get(sender)
        if window is None or incarnation > window.incarnation:
            self._store(sender, _Window(incarnation, sequence, 1))
            return True
        if incarnation < window.incarnation:
            return False
        advanced = _advance(window, sequence)
        if advanced is None:
            return False
        self._store(sender, advanced)
        return True

    def _store(self, sender: str, window: _Window) -> None:
        self._window_by_sender[sender] = window
        self._window_by_sender.move_to_end(sender)
        if len(self._window_by_sender) > MAX_SENDERS:
            self._window_by_sender.popitem(last=False)


def _advance(window: _Window, sequence: int) -> _Window | None:
    ahead = sequence - window.highest
    if ahead > 0:
        seen = (window.seen << min(ahead, WINDOW_MESSAGES) | 1) & (1 << WINDOW_MESSAGES) - 1
        return _Window(window.incarnation, sequence, seen)
    bit = 1 << -ahead if -ahead < WINDOW_MESSAGES else 0
    if not bit or window.seen & bit:
        return None
    return window._replace(seen=window.seen | bit)


__all__ = ["KeyRing", "ReplayWindows", "extract_nonce"]
