"""Decodes damaged copies of each kind of message between hosts; prints the longest in ms.

The time is that of the processor, which other processes do not lengthen.

It runs as a process of its own, since a message that ends the process would end the tests, too:
python damaged_messages.py COPIES SEED
"""

from __future__ import annotations

import contextlib
import sys
import time
from random import Random
from unittest import mock

from redwingbank.duties.codec import Announcement, UsageCounts
from redwingbank.duties.lease import RenewalKey
from redwingbank.duties.usage import Source, WindowCounts
from redwingbank.front import digest
from redwingbank.front.digest import (
    Answer,
    Audience,
    Bundle,
    Digest,
    FirstEvent,
    Message,
    MessageError,
    News,
    Question,
    Report,
    Sent,
    decode_message,
    encode_message,
)
from redwingbank.front.notice_codec import StatementReport
from redwingbank.front.poison import CrashNews
from redwingbank.front.stream_codec import Purpose, StreamNote, StreamReport
from redwingbank.front.values import PromptPart, ServerEntry
from redwingbank.routing.brittle_room import RoomState
from redwingbank.routing.load import InFlightRequest
from redwingbank.routing.room_book import RoomAsk, RoomLoan
from redwingbank.routing.server_limit import LimitState
from redwingbank.routing.stream_origin import StreamOrigin, stream_key
from redwingbank.settings import Address

IN_FLIGHT = InFlightRequest(1.0, 100, 0.0, 50, 0.2, 3)
SENT = Sent(1, "i-1", IN_FLIGHT, (PromptPart("ab", 5), PromptPart("cd", 6)))
DIGEST = Digest((SENT, SENT), (FirstEvent(1, 0.2),), (1, 2))
ENTRY = ServerEntry("i-1", "pool", Address("10.0.0.1", 3), "a", 4, False, 123)
MULTIPLE_SEGMENTS = Digest((SENT,) * 400)
SMALL_SEGMENT_WORDS = 1024
CONTENTS = (
    DIGEST,
    MULTIPLE_SEGMENTS,
    Bundle((Report("host-1", 1, DIGEST),), Audience.ALL),
    Question(1.0, True),
    Answer(1.0, 1.0, 3, 4, 5, 1.0),
    News(1, 5, (ENTRY, ENTRY), ("i-2",)),
    CrashNews("f", 1.0, False, "i-1", ("a",), 0.1),
    Announcement(RenewalKey("host-1", 1, 1_800_000_000, 7), 353445120, 1.8e9),
    UsageCounts(
        Source("host-1", 1), (WindowCounts(7, {"a": 1, "b": 2}), WindowCounts(8, {"b": 3})), 1.8e9
    ),
    StatementReport((LimitState("i-1", 1, 3, 2.0, 4),)),
    StatementReport(
        (
            RoomState("i-1", 1, 3, 4, False, 2, 5),
            RoomAsk("pool", 3),
            RoomLoan("i-1", 1, -2),
            RoomState("i-2", 1, 3, None, True, 0, 0),
        )
    ),
    StreamReport(
        Purpose.TOLD,
        (
            StreamNote(stream_key("r-1"), StreamOrigin("pool", "v1", "host-1"), 4.0),
            StreamNote(stream_key("r-2")),
        ),
    ),
)


def damage(data, random):
    """Return a message with some bits flipped, maybe cut off."""
    damaged = bytearray(data)
    for _ in range(random.randint(1, 6)):
        # the head of a message decides how the rest is read
        at = random.randrange(min(len(damaged), random.choice((4, 16, len(damaged)))))
        damaged[at] ^= 1 << random.randrange(8)
    return bytes(damaged[: random.choice((len(damaged), random.randrange(len(damaged)) + 1))])


def main(copies, seed):
    random = Random(seed)
    longest_s = 0.0
    for content in CONTENTS:
        small = content is MULTIPLE_SEGMENTS
        words = SMALL_SEGMENT_WORDS if small else digest.FIRST_SEGMENT_WORDS
        with mock.patch.object(digest, "FIRST_SEGMENT_WORDS", words):
            data = encode_message(Message("host-1", 1, content))
        assert decode_message(data, 1.0).host == "host-1"
        for _ in range(copies):
            damaged = damage(data, random)
            started_s = time.process_time()
            with contextlib.suppress(MessageError):
                decode_message(damaged, 1.0)
            longest_s = max(longest_s, time.process_time() - started_s)
    print(round(longest_s * 1000))


if __name__ == "__main__":
    main(int(sys.argv[1]), int(sys.argv[2]))
