"""Steps of tasks/records.feature."""

from __future__ import annotations

import random
import time
from unittest import mock

import anyio
from behave import given, then, when

from memory_platform import MemoryPlatform, Shared, interleave, random_faults
from platform_bench import settings_for
from redwingbank.events import EventLog
from redwingbank.ports.platform import Conflict, Stored, Unknown
from redwingbank.rules import idempotency
from redwingbank.settings import Address
from redwingbank.tasks import records
from redwingbank.tasks.records import Recorder, Refuse, Replay, Run

HOUR_S = 3600.0
HOSTS = ("first", "second")
CALL = ("Haddad & Sons", "disbursement-1", "digest-of-body")


def recorder(platform, host="entry-1", kind=Recorder):
    settings = settings_for(Address("127.0.0.1", 1))._replace(host=host)
    return kind(platform, settings, EventLog(host, "amman-a"))


def told(answer):
    """Name what a host answered."""
    return answer.code.name if isinstance(answer, Refuse) else type(answer).__name__


class Records:
    """Two hosts' recorders over one platform."""

    def __init__(self, kind=Recorder):
        self.shared = Shared()
        self.platforms = {host: MemoryPlatform(self.shared) for host in HOSTS}
        self.recorders = {host: recorder(self.platforms[host], host, kind) for host in HOSTS}
        self.runs = {}
        self.started = 0

    def begin(self, host, digest=CALL[2]):
        answer = anyio.run(self.recorders[host].begin, *CALL[:2], digest)
        if isinstance(answer, Run):
            self.runs[host] = answer
            self.started += 1
        return answer

    def end_faults(self):
        self.shared.apply_late()
        for host in HOSTS:
            self.platforms[host].fault = lambda kind, key: None
            for _ in range(3):
                anyio.run(self.recorders[host].tick, time.time())


@given("the records of two hosts")
def two_hosts(context):
    context.records = Records()


@given("the records of two hosts without void records")
def two_hosts_voidless(context):
    context.records = Records(Voidless)


@when("the records' {host} host begins a call")
@when("the records' {host} host begins the call again")
def begins(context, host):
    context.told = told(context.records.begin(host))


@when('the records\' {host} host finishes it with "{outcome}"')
def finishes(context, host, outcome):
    held = context.records
    anyio.run(held.recorders[host].finish, held.runs[host], outcome)


def kill_hour_before(held, run):
    """Make the record look an hour old, as its host left it."""
    entry = held.shared.objects.get(run.key)
    old = idempotency.decode_record(entry.value)
    value = idempotency.encode_record(old._replace(at_s=old.at_s - HOUR_S))
    held.shared.objects.write(run.key, value, entry.version)


ENDS = {
    "released": lambda held, host, run: anyio.run(held.recorders[host].release, run),
    "given up": lambda held, host, run: anyio.run(held.recorders[host].give_up, run),
    "finished far too large": lambda held, host, run: anyio.run(
        held.recorders[host].finish, run, "x" * 600_000
    ),
    "killed right after": lambda held, host, run: None,
    "killed an hour after": lambda held, host, run: kill_hour_before(held, run),
}


@when("the records' call at the {host} host ends: {ends}")
def ends_call(context, host, ends):
    ENDS[ends](context.records, host, context.records.runs[host])


@when("the records' {host} host meets {faults} from now on")
def meets_faults(context, host, faults):
    left = iter(faults.split(", "))
    context.records.platforms[host].fault = lambda kind, key: next(left, None)


@then("the records' {host} host was told {answer}")
def was_told(context, host, answer):
    assert context.told == answer, context.told


@then("the records' {host} host tells its resend {answer}")
def tells_resend(context, host, answer):
    given = told(context.records.begin(host))
    assert given == answer, given


@then("the records' {host} host tells another body {answer}")
def tells_another(context, host, answer):
    assert told(context.records.begin(host, "another")) == answer


@then('the records\' {host} host replays "{outcome}"')
def replays(context, host, outcome):
    assert context.records.begin(host) == Replay(outcome)


@then("once the faults are over the records' {host} host tells its resend {answer}")
def tells_after(context, host, answer):
    context.records.end_faults()
    tells_resend(context, host, answer)


@then('once the faults are over the records\' {host} host replays "{outcome}"')
def replays_after(context, host, outcome):
    context.records.end_faults()
    replays(context, host, outcome)


@then("the records show that the call ran at most once")
def at_most_once(context):
    assert context.records.started <= 1


@then("the records took {own:d} writes and one for each of {resends:d} resends")
def writes(context, own, resends):
    assert context.records.shared.calls["write"] == own + resends, context.records.shared.calls


@when("the records' first host meets the platform down for {count:d} calls")
def down_for(context, count):
    held = context.records
    held.platforms["first"].fault = lambda kind, key: "down"

    async def body():
        return [
            await held.recorders["first"].begin("Haddad", f"key-{number}", "d")
            for number in range(count)
        ]

    with mock.patch.object(records, "CALLS_PER_S", 1e6):
        held.recorders["first"] = recorder(held.platforms["first"])
    context.answers = anyio.run(body)


@then("the records' first host refused each as not run and keeps {count:d} pending changes")
def refused_each(context, count):
    assert {told(answer) for answer in context.answers} == {"PLATFORM_UNAVAILABLE"}
    assert {answer.ran.value for answer in context.answers} == {"no"}
    assert all(answer.retry_after_s > 0 for answer in context.answers)
    assert context.records.recorders["first"].pending == count


@when("the records' first host shares the rate with {hosts:d} hosts and begins {count:d} calls")
def shares_rate(context, hosts, count):
    held = context.records
    held.recorders["first"].share_rate(hosts)

    async def body():
        return [
            await held.recorders["first"].begin("Haddad", f"key-{number}", "d")
            for number in range(count)
        ]

    context.answers = anyio.run(body)


@then(
    "the records' first host refused some with a time to return, "
    "and their platform saw no call of them"
)
def refused_some(context):
    refused = [answer for answer in context.answers if isinstance(answer, Refuse)]
    ran = len(context.answers) - len(refused)
    assert refused
    assert all(answer.retry_after_s > 0 for answer in refused)
    assert context.records.shared.calls["write"] == ran


@then("the records' first host may send it now and not after a freeze of {seconds:d} s")
def may_send(context, seconds):
    held = context.records
    run = held.runs["first"]
    assert held.recorders["first"].may_send(run)
    later_s = time.monotonic() + seconds
    with mock.patch.object(records.time, "monotonic", return_value=later_s):
        assert not held.recorders["first"].may_send(run)


@when("the records' first host finished {count:d} calls")
def finished_calls(context, count):
    async def body():
        host = context.records.recorders["first"]
        for number in range(count):
            await host.finish(await host.begin("Haddad", f"key-{number}", "d"), "booked")

    anyio.run(body)
    context.count = count


def look_through(context, after_s):
    async def body():
        for _ in range(4 * idempotency.SHARDS):
            await context.records.recorders["first"].tick(time.time() + after_s)

    anyio.run(body)
    return len(context.records.shared.objects.keys(idempotency.RECORDS))


@then("the records are all there after every part was looked through a day later")
def all_there(context):
    assert look_through(context, 24 * HOUR_S) == context.count


@then("the records are gone after every part was looked through 26 hours later")
def all_gone(context):
    assert look_through(context, 26 * HOUR_S) == 0


# interleaved runs


class Unconditional(MemoryPlatform):
    """The variant without conditional creates: read first, then write."""

    async def create(self, key, value):
        found = await self.read(key)
        if isinstance(found, Stored):
            return Conflict(key, found.version)
        if isinstance(found, Unknown):
            return found
        entry = self.shared.objects.get(key)
        return await self._write("write", key, value, entry.version if entry.value else None)


class Trusting(MemoryPlatform):
    """The variant that sends though it is not known whether the record was written."""

    async def create(self, key, value):
        answer = await super().create(key, value)
        return Stored(key, 1, value) if isinstance(answer, Unknown) else answer


class Voidless(Recorder):
    """The variant without void records: what a lost create leaves behind stays."""

    def _add_pending(self, name, pending):
        if pending.version:
            super()._add_pending(name, pending)


class Nameless(Recorder):
    """The variant without a nonce: a record that is there after a lost answer must be ours."""

    async def _resolve(self, name, own, read):
        if isinstance(read, Stored) and getattr(self, "doubt", False):
            return read
        answer = await super()._resolve(name, own, read)
        self.doubt = isinstance(answer, Unknown)
        return answer

    async def _create_record(self, name, own):
        create = self._platform.create

        async def noting(key, value):
            answer = await create(key, value)
            self.doubt = isinstance(answer, Unknown)
            return answer

        with mock.patch.object(self._platform, "create", noting):
            return await super()._create_record(name, own)


VARIANTS = {
    "conditional creates": (Unconditional, Recorder),
    "knowing before sending": (Trusting, Recorder),
    "the nonce": (MemoryPlatform, Nameless),
}


class World:
    """What truly happened: how often the call ran, and what each sender was told."""

    def __init__(self):
        self.ran = 0
        self.answers = []

    def check(self):
        assert self.ran <= 1, f"ran {self.ran} times"
        replays = {answer.outcome for answer in self.answers if isinstance(answer, Replay)}
        assert replays <= {"run 1"}, replays
        assert not replays or self.ran == 1


ENDINGS = ("finish", "finish", "kill", "kill unsent", "release", "give up")


async def one_sender(world, host, ending, pause):
    """Begin the call, and where it is recorded run it or end as `ending` says."""
    answer = await host.begin(*CALL)
    world.answers.append(answer)
    if not isinstance(answer, Run):
        await host.tick(time.time())
        return
    for _ in range(pause):
        await host._platform.keys("")
    if ending == "release":
        await host.release(answer)
        return
    if ending == "kill unsent":
        return
    world.ran += 1
    if ending == "finish":
        await host.finish(answer, f"run {world.ran}")
        await host.tick(time.time())
    elif ending == "give up":
        await host.give_up(answer)


async def run_once(seed, share, variant=(MemoryPlatform, Recorder)):
    """Interleave senders on hosts of their own; each sends the same call, some twice."""
    shared = Shared()
    chooser = random.Random(seed)
    world = World()
    platform_kind, recorder_kind = variant

    def sender(number):
        platform = platform_kind(shared, random_faults(seed * 31 + number, share), turns=True)
        settings = settings_for(Address("127.0.0.1", 1))._replace(host=f"entry-{number}")
        host = recorder_kind(platform, settings, EventLog("entry", "amman-a"))
        plan = [(chooser.choice(ENDINGS), chooser.randrange(4)) for _ in range(2)]

        async def work():
            for ending, pause in plan:
                await one_sender(world, host, ending, pause)

        return work

    await interleave(shared, {number: sender(number) for number in range(4)}, seed)
    world.check()


def first_broken(seed, runs, share, variant=(MemoryPlatform, Recorder)):
    """Give the first seed whose run broke a promise."""
    for number in range(seed, seed + runs):
        try:
            anyio.run(run_once, number, share, variant)
        except AssertionError:
            return number
    return None


@then(
    "the records keep every promise in {runs:d} interleaved runs from seed {seed:d} "
    "with faults in {share:f} of the calls"
)
def keep_promises(context, runs, seed, share):
    broken = first_broken(seed, runs, share)
    assert broken is None, broken


@then(
    "the records without {mechanism} break a promise within {runs:d} interleaved runs "
    "from seed {seed:d}"
)
def break_promise(context, mechanism, runs, seed):
    assert first_broken(seed, runs, 0.2, VARIANTS[mechanism]) is not None
