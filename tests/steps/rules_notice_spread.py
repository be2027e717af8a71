"""Steps of rules/notice_spread.feature."""

from __future__ import annotations

from random import Random

from behave import given, then, when

from redwingbank.messages import Heartbeat, Member, MemberState, Notice
from redwingbank.rules.membership import Membership
from redwingbank.rules.notices import Notices
from redwingbank_standins.quickstart import host_settings


class WithoutRefunds(Notices):
    def refund_sends(self, notices):
        pass


def notice(number):
    return Notice("suspect", f"f{number}@s1", "entry-1", number, 0.0, 60.0)


@given("the shed notices {variant} of a host among 3")
def notices_of(context, variant):
    context.notices = WithoutRefunds() if variant == "without refunds" else Notices()
    assert context.notices.add(notice(1), 3, 0.0)


@when("the shed notices' next {count:d} messages are shed")
def are_shed(context, count):
    for _ in range(count):
        context.notices.refund_sends(context.notices.select_next(3, 1.0))


@then("the shed notices' next message carries {carried:d} notices")
def carries(context, carried):
    assert len(context.notices.select_next(3, 1.0)) == carried


@then("5 simultaneous notices are spread in 2 messages to each of 2 members")
def spread_together(context):
    settings = host_settings(1, None)
    membership = Membership("entry-1", "c", "127.0.0.1:1", 1, settings, Random(1))
    for number in (2, 3):
        other = Member(f"entry-{number}", "c", f"127.0.0.1:{number}", 1, MemberState.ALIVE, 1)
        membership.receive(other.host, Heartbeat(False, 1, (other,)), 0.0)
    sent = membership.announce_all([notice(number) for number in range(5)], 1.0)
    assert (
        sorted(outgoing.address for outgoing in sent) == ["127.0.0.1:2"] * 2 + ["127.0.0.1:3"] * 2
    )
    for address in ("127.0.0.1:2", "127.0.0.1:3"):
        carried = [
            notice
            for outgoing in sent
            if outgoing.address == address
            for notice in outgoing.heartbeat.notices
        ]
        assert 3 <= len({item.number for item in carried}) <= 5, carried
