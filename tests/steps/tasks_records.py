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


def answer_name(answer):
    """Return the result code of a refusal, or the type of another answer."""
    return answer.code.name if isinstance(answer, Refuse) else type(answer).__name__


class RecordsRig:
    """The recorders of two hosts that share a platform."""

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
    context.records = RecordsRig()


@given("the records of two hosts without void records")
def two_hosts_without_void_records(context):
    context.records = RecordsRig(WithoutVoidRecords)


@when("the records' {host} host begins a call")
@when("the records' {host} host begins the call again")
def begins(context, host):
    context.answer = answer_name(context.records.begin(host))


@when('the records\' {host} host finishes it with "{outcome}"')
def finishes(context, host, outcome):
    rig = context.records
    anyio.run(rig.recorders[host].finish, rig.runs[host], outcome)


def age_record_by_an_hour(rig, run):
    """Make the record an hour older."""
    entry = rig.shared.objects.get(run.key)
    old = idempotency.decode_record(entry.value)
    value = idempotency.encode_record(old._replace(at_s=old.at_s - HOUR_S))
    rig.shared.objects.write(run.key, value, entry.version)


END_BY_NAME = {
    "released": lambda rig, host, run: anyio.run(rig.recorders[host].release, run),
    "given up": lambda rig, host, run: anyio.run(rig.recorders[host].give_up, run),
    "finished, far too large": lambda rig, host, run: anyio.run(
        rig.recorders[host].finish, run, "x" * 600_000
    ),
    "killed right after": lambda rig, host, run: None,
    "killed an hour after": lambda rig, host, run: age_record_by_an_hour(rig, run),
}


@when("the records' call at the {host} host ends: {ends}")
def ends_call(context, host, ends):
    END_BY_NAME[ends](context.records, host, context.records.runs[host])


@when("the records' {host} host encounters {faults} from now on")
def meets_faults(context, host, faults):
    remaining_faults = iter(faults.split(", "))
    context.records.platforms[host].fault = lambda kind, key: next(remaining_faults, None)


@then("the records' {host} host got {answer}")
def host_got(context, host, answer):
    assert context.answer == answer, context.answer


@then("the records' {host} host answers its resend with {answer}")
def answers_resend(context, host, answer):
    answered = answer_name(context.records.begin(host))
    assert answered == answer, answered


@then("the records' {host} host answers another body with {answer}")
def answers_another_body(context, host, answer):
    assert answer_name(context.records.begin(host, "another")) == answer


@then('the records\' {host} host replays "{outcome}"')
def replays(context, host, outcome):
    assert context.records.begin(host) == Replay(outcome)


@then("once the faults are over the records' {host} host answers its resend with {answer}")
def answers_resend_after_faults(context, host, answer):
    context.records.end_faults()
    answers_resend(context, host, answer)


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


@when("the records' first host finds the platform down for {count:d} calls")
def down_for(context, count):
    rig = context.records
    rig.platforms["first"].fault = lambda kind, key: "down"

    async def body():
        return [
            await rig.recorders["first"].begin("Haddad", f"key-{number}", "d")
            for number in range(count)
        ]

    with mock.patch.object(records, "CALLS_PER_S", 1e6):
        rig.recorders["first"] = recorder(rig.platforms["first"])
    context.answers = anyio.run(body)


@then("the records' first host refused each as not run and keeps {count:d} pending changes")
def refused_each(context, count):
    assert {answer_name(answer) for answer in context.answers} == {"PLATFORM_UNAVAILABLE"}
    assert {answer.ran.value for answer in context.answers} == {"no"}
    assert all(answer.retry_after_s > 0 for answer in context.answers)
    assert context.records.recorders["first"].pending == count


@when("the records' first host shares the rate with {hosts:d} hosts and begins {count:d} calls")
def shares_rate(context, hosts, count):
    rig = context.records
    rig.recorders["first"].share_rate(hosts)

    async def body():
        return [
            await rig.recorders["first"].begin("Haddad", f"key-{number}", "d")
            for number in range(count)
        ]

    context.answers = anyio.run(body)


@then("the records' first host refused some with a retry time and made no platform call for them")
def refused_some(context):
    refused = [answer for answer in context.answers if isinstance(answer, Refuse)]
    recorded = len(context.answers) - len(refused)
    assert refused
    assert all(answer.retry_after_s > 0 for answer in refused)
    assert context.records.shared.calls["write"] == recorded


@then("the records' first host may send it now and not after a freeze of {seconds:d} s")
def may_send(context, seconds):
    rig = context.records
    run = rig.runs["first"]
    assert rig.recorders["first"].may_send(run)
    later_s = time.monotonic() + seconds
    with mock.patch.object(records.clock, "now_s", return_value=later_s):
        assert not rig.recorders["first"].may_send(run)


@when("the records' first host finished {count:d} calls")
def finished_calls(context, count):
    async def body():
        host = context.records.recorders["first"]
        for number in range(count):
            await host.finish(await host.begin("Haddad", f"key-{number}", "d"), "booked")

    anyio.run(body)
    context.count = count


def full_scan(context, after_s):
    async def body():
        for _ in range(4 * idempotency.SHARDS):
            await context.records.recorders["first"].tick(time.time() + after_s)

    anyio.run(body)
    return len(context.records.shared.objects.keys(idempotency.RECORD_PREFIX))


@then("the records are all there after a full scan a day later")
def all_present(context):
    assert full_scan(context, 24 * HOUR_S) == context.count


@then("the records are removed after a full scan 26 hours later")
def all_gone(context):
    assert full_scan(context, 26 * HOUR_S) == 0


# interleaved runs


class WithoutConditionalCreates(MemoryPlatform):
    """Creates records by a read followed by an unconditional write."""

    async def create(self, key, value):
        found = await self.read(key)
        if isinstance(found, Stored):
            return Conflict(key, found.version)
        if isinstance(found, Unknown):
            return found
        entry = self.shared.objects.get(key)
        return await self._write("write", key, value, entry.version if entry.value else None)


class WithoutConfirmation(MemoryPlatform):
    """Reports a create as done even if its answer was lost."""

    async def create(self, key, value):
        answer = await super().create(key, value)
        return Stored(key, 1, value) if isinstance(answer, Unknown) else answer


class WithoutVoidRecords(Recorder):
    """Does not void the records that lost creates leave behind."""

    def _add_pending(self, name, pending):
        if pending.version:
            super()._add_pending(name, pending)


class WithoutNonce(Recorder):
    """Assumes that a record found after a lost answer is its own, without checking the nonce."""

    async def _resolve(self, name, own, read):
        if isinstance(read, Stored) and getattr(self, "unconfirmed", False):
            return read
        answer = await super()._resolve(name, own, read)
        self.unconfirmed = isinstance(answer, Unknown)
        return answer

    async def _create_record(self, name, own):
        create = self._platform.create

        async def create_and_note(key, value):
            answer = await create(key, value)
            self.unconfirmed = isinstance(answer, Unknown)
            return answer

        with mock.patch.object(self._platform, "create", create_and_note):
            return await super()._create_record(name, own)


VARIANTS = {
    "conditional creates": (WithoutConditionalCreates, Recorder),
    "confirmation": (WithoutConfirmation, Recorder),
    "the nonce": (MemoryPlatform, WithoutNonce),
}


class CallHistory:
    """The actual number of runs of the call, and the answers that the senders got."""

    def __init__(self):
        self.ran = 0
        self.answers = []

    def check(self):
        assert self.ran <= 1, f"ran {self.ran} times"
        replays = {answer.outcome for answer in self.answers if isinstance(answer, Replay)}
        assert replays <= {"run 1"}, replays
        assert not replays or self.ran == 1


SENDER_ENDINGS = ("finish", "finish", "kill", "kill unsent", "release", "give up")


async def run_sender(history, host, ending, pause):
    """Begin the call; if it is recorded, end it as `ending` says."""
    answer = await host.begin(*CALL)
    history.answers.append(answer)
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
    history.ran += 1
    if ending == "finish":
        await host.finish(answer, f"run {history.ran}")
        await host.tick(time.time())
    elif ending == "give up":
        await host.give_up(answer)


async def run_interleaved(seed, share, variant=(MemoryPlatform, Recorder)):
    """Interleave four senders, each on its own host, that send the same call twice each."""
    shared = Shared()
    chooser = random.Random(seed)
    history = CallHistory()
    platform_kind, recorder_kind = variant

    def sender(number):
        platform = platform_kind(shared, random_faults(seed * 31 + number, share), turns=True)
        settings = settings_for(Address("127.0.0.1", 1))._replace(host=f"entry-{number}")
        host = recorder_kind(platform, settings, EventLog("entry", "amman-a"))
        plan = [(chooser.choice(SENDER_ENDINGS), chooser.randrange(4)) for _ in range(2)]

        async def work():
            for ending, pause in plan:
                await run_sender(history, host, ending, pause)

        return work

    await interleave(shared, {number: sender(number) for number in range(4)}, seed)
    history.check()


def first_failing_seed(seed, runs, share, variant=(MemoryPlatform, Recorder)):
    """Return the first seed whose run broke a guarantee, None if none did."""
    for number in range(seed, seed + runs):
        try:
            anyio.run(run_interleaved, number, share, variant)
        except AssertionError:
            return number
    return None


@then(
    "the records keep every guarantee in {runs:d} interleaved runs from seed {seed:d} "
    "with faults in {share:f} of the calls"
)
def keep_guarantees(context, runs, seed, share):
    failing_seed = first_failing_seed(seed, runs, share)
    assert failing_seed is None, failing_seed


@then(
    "the records without {mechanism} break a guarantee within {runs:d} interleaved runs "
    "from seed {seed:d}"
)
def break_guarantee(context, mechanism, runs, seed):
    assert first_failing_seed(seed, runs, 0.2, VARIANTS[mechanism]) is not None
