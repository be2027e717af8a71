"""Steps of system/soak.feature."""

from __future__ import annotations

import asyncio
import contextlib
import tempfile
from collections import Counter
from pathlib import Path
from random import Random

from behave import given, then, when

from redwingbank_bench.soak import REVOKE_S, soak
from redwingbank_bench.soakchecks import (
    LATE_S,
    Attempt,
    LimitedArrivals,
    Observations,
    find_violations,
)
from redwingbank_bench.soakdocuments import ANY_PORT, DEADLINE_MS, ORGANISATION
from redwingbank_bench.soakfronts import FrontFleet
from redwingbank_bench.soakplan import Plan, parse_plan
from redwingbank_bench.soakproxy import Disturbance
from redwingbank_bench.soakruns import HANDOVER_S, HostRun, Interruption
from redwingbank_bench.soakstatements import Statements
from redwingbank_bench.soakstating import Arrival, Leaving, Rest, ServerStart
from redwingbank_standins.backend_server import ReceivedRequest, RunSpan

EVENTS = b"".join(b"id: %d\ndata: x\n\n" % number for number in range(1, 5))


@when("the soak runs for {seconds:d} s with seed {seed:d}")
def soak_runs(context, seconds, seed):
    context.result = soak(Plan(seed, seconds))


@when("a soak of silent cuts and forwarded requests runs for {seconds:d} s with seed {seed:d}")
def forwarding_soak_runs(context, seconds, seed):
    context.result = soak(Plan(seed, seconds, forwards=True, cut_modes=("silent",)))
    assert context.result.forwarded, context.result


@when("a soak of the newer faults runs for {seconds:d} s with seed {seed:d}")
def newer_soak_runs(context, seconds, seed):
    context.result = soak(Plan(seed, seconds, newer=True))


@when("a soak with a crowd runs for {seconds:d} s with seed {seed:d}")
def crowd_soak_runs(context, seconds, seed):
    context.result = soak(Plan(seed, seconds, crowd=True))


@then("the crowd has come often")
def crowd_came(context):
    assert context.result.crowd > 100, context.result


@then("each newer fault showed at the servers")
def newer_faults_showed(context):
    faults, said = context.result.faults, context.result.said
    assert all(faults.get(name) for name in Plan(0, 0, newer=True).faults(())), faults
    assert all(said.values()), said


@then("the soak found no violation")
def no_violations(context):
    assert not context.result.broken, context.result


@then("the soak's callers were served in each class")
def served(context):
    for name in ("book", "read", "fixed", "memo", "draft"):
        assert context.result.ends.get(f"{name} 200"), context.result.ends


@given("the source code of {count:d} releases")
def releases(context, count):
    directory = tempfile.TemporaryDirectory()
    context.add_cleanup(directory.cleanup)
    context.folder = Path(directory.name)
    context.releases = [str(context.folder / f"release-{number}") for number in range(count)]
    for path in context.releases:
        package = Path(path) / "redwingbank_bench"
        package.mkdir(parents=True)
        package.joinpath("__init__.py").touch()
        package.joinpath("soakfront.py").write_text(f"print({path!r})\n")


@when("{count:d} fronts of a soak start and exit for {seconds:d} s")
def fronts_start(context, count, seconds):
    plan = parse_plan(["5", "6", str(count), f"releases={','.join(context.releases)}"])

    async def run():
        context.fleet = FrontFleet(Random(plan.seed), context.folder, plan.releases)
        for _ in range(plan.hosts):
            context.fleet.add(ANY_PORT)
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(context.fleet.supervise(), seconds)

    asyncio.run(run())
    context.fleet.stop()


@then("fronts of each release have started, and the fleet has counted them")
def releases_started(context):
    lines = [line for log in context.folder.glob("*.log") for line in log.read_text().splitlines()]
    started, counted = Counter(lines), context.fleet.release_starts
    assert set(started) == set(context.releases) == set(counted), (started, counted)
    # the last start of each front may have been ended before its line
    assert all(0 <= counted[path] - started[path] <= 3 for path in counted), (started, counted)


def make_attempt(request_id, service_class, body, sent_s=1.0, status=200, key="key-1"):
    stamp = f"s.{request_id}"
    return Attempt(
        request_id, service_class, key, sent_s, status, status == 200, stamp, request_id, body
    )


def taken_up(attempt, stream, body, resume_after):
    return attempt._replace(
        request_id="r-5",
        stamp="s.r-5",
        echo="r-5",
        body=body,
        whole=False,
        resumes=stream,
        resume_after=resume_after,
    )


def make_unanswered(request_id, host, sent_s=1.0, reused=False):
    attempt = make_attempt(request_id, "read", b"", sent_s, status=0)
    return attempt._replace(host=host, ended_s=sent_s + 0.1, reused=reused)


def make_run(request_id, **headers):
    return ReceivedRequest(request_id, "/x", {"tenant": ORGANISATION, **headers}, b"body", 2.0)


def make_host_run(request_id, host, began_s, ended_s, **headers):
    return HostRun(RunSpan(make_run(request_id, **headers), began_s, ended_s), "i-1", host)


@given("the records of a soak without violations")
def given_clean_soak(context):
    context.attempts = {
        "r-1": make_attempt("r-1", "book", b"whole"),
        "r-2": make_attempt("r-2", "memo", EVENTS),
        "r-3": make_attempt("r-3", "book", b"", status=503),
        "r-4": make_attempt("r-4", "read", b"whole"),
        "r-6": make_unanswered("r-6", "front-1", sent_s=2.5),
        "r-7": make_unanswered("r-7", "front-2", reused=True),
    }
    context.interruptions = (Interruption("front-1", 2.0, 3.0),)
    context.runs = [
        make_run("r-1"),
        make_run("r-2"),
        make_run("r-2"),
        make_run("r-4"),
        make_run("r-4"),
    ]
    # a stream is taken up; hosts that are back from an interruption end their runs in time
    context.host_runs = [
        make_host_run("r-2", "front-0", 2.0, 2.9 + HANDOVER_S),
        make_host_run("r-5", "front-0", 3.0, 3.5, resumes="r-2"),
        make_host_run("r-6", "front-1", 1.5, 2.9 + HANDOVER_S),
        make_host_run("r-8", "front-0", 1.6, 3.5, resumes="r-6"),
        make_host_run("r-4", "front-3", 1.0, 3.9 + HANDOVER_S),
        make_host_run("r-4", "front-0", 2.0, 9.0),
    ]
    context.cuts = (Interruption("front-3", 2.2, 4.0),)
    context.revoked = {"key-0": 0.5}
    # 4 s bring at most 17 requests at 2 a second
    context.statements = made_statements()
    context.arrivals_s = (0.0, *(3.1 + number / 5 for number in range(17)))


SOURCE = "127.0.0.10"
START = ServerStart("i-1", 1)


def arrival(request_id, received_s, source=SOURCE):
    return Arrival(START, source, request_id, received_s)


def made_statements():
    """Return statements that were heeded by all hosts that heard of them and have no excuse."""
    return Statements(
        arrivals=(
            arrival("r-1", 1.1),
            arrival("r-2", 3.4, source="127.0.0.11"),
            arrival("r-6", 3.4, source="127.0.0.12"),
            *(arrival("r-4", 20.6 + number / 10) for number in range(2)),
            *(arrival("r-4", 21.1 + number / 10) for number in range(9)),
            *(arrival("r-4", 20.6 + number / 10, "127.0.0.12") for number in range(4)),
            *(arrival("r-4", 20.6 + number / 10, "127.0.0.13") for number in range(4)),
        ),
        leaving=(Leaving(arrival("r-1", 1.1)), Leaving(arrival("r-1", 1.1, "127.0.0.12"))),
        rests=tuple(
            Rest(arrival("r-3", 20.0, source), 20.0, 1.0)
            for source in (SOURCE, "127.0.0.12", "127.0.0.13")
        ),
        started_s_by_source={"127.0.0.12": (2.0, 20.5)},
        disturbances_by_server={"i-1": (Disturbance(19.0, "127.0.0.13", "silent"),)},
    )


def change_statements(*arrivals):
    def apply(context):
        kept = context.statements.arrivals
        context.statements = context.statements._replace(arrivals=(*kept, *arrivals))

    return apply


def change_attempt(name, **values):
    def apply(context):
        context.attempts[name] = context.attempts[name]._replace(**values)

    return apply


def change_host_run(number, **values):
    def apply(context):
        run = context.host_runs[number]
        context.host_runs[number] = run._replace(span=run.span._replace(**values))

    return apply


CHANGES = {
    "a stream runs on at the server before": change_host_run(0, ended_s=3.1 + HANDOVER_S),
    "a request runs at two servers": lambda context: setattr(context, "cuts", ()),
    "a host goes on with a run after it was suspended": change_host_run(2, ended_s=3.45),
    "a host was suspended before the stream was taken up": change_host_run(0, ended_s=3.45),
    "a host that is in touch goes on with a run while others are suspended": lambda context: (
        context.host_runs.__setitem__(2, context.host_runs[2]._replace(host="front-2")),
        context.attempts.update({"r-6": context.attempts["r-6"]._replace(host="front-2")}),
    ),
    "a caller received the response of another request": change_attempt("r-1", stamp="s.r-4"),
    "a caller received a partial response as complete": change_attempt("r-1", body=b"who"),
    "a stream ended as complete without its last event": change_attempt("r-2", body=EVENTS[:15]),
    "a stream event arrived twice": change_attempt("r-2", body=EVENTS + EVENTS),
    "a stream that was taken up has events of two versions": lambda context: (
        context.attempts.update(
            {"r-5": taken_up(context.attempts["r-2"], "r-2", b"id: 5\ndata: i-1@v2 5\n\n", 4)}
        )
    ),
    "a stream has events of two versions": change_attempt(
        "r-2", body=EVENTS[:-16] + b"id: 4\ndata: i-2@v2 4\n\n"
    ),
    "a booking ran twice": lambda context: context.runs.append(make_run("r-1")),
    "a booking answered with 503 ran": lambda context: context.runs.append(make_run("r-3")),
    "a request ran but was never sent": lambda context: context.runs.append(make_run("r-9")),
    "an API key reached a server": lambda context: context.runs.append(
        make_run("r-4", authorization="Token key-1")
    ),
    "a request reached a server long after its deadline": lambda context: context.runs.append(
        make_run("r-2")._replace(received_s=1.1 + DEADLINE_MS / 1000 + LATE_S)
    ),
    "a server got more than the limit that it names": lambda context: setattr(
        context, "arrivals_s", (*context.arrivals_s, 6.9)
    ),
    "a request ran long after its key was revoked": change_attempt(
        "r-4", key="key-0", sent_s=0.6 + REVOKE_S
    ),
    "a request got no answer from a host that ran all the while": change_attempt(
        "r-6", sent_s=3.1, ended_s=3.2
    ),
    "a booking that was sent again had run before its refusal": change_attempt(
        "r-1", refused=(make_attempt("r-1", "book", b"", status=503)._replace(ended_s=2.1),)
    ),
    "a leaving server got a request sent long after its word": change_statements(
        arrival("r-6", 3.4)
    ),
    "a server that rests got 3 requests from a host": change_statements(arrival("r-4", 20.9)),
    "a request that ran got no answer on a kept connection": lambda context: context.runs.append(
        make_run("r-7")
    ),
}


def run_checks(context):
    observations = Observations(
        context.attempts,
        tuple(context.runs),
        context.revoked,
        REVOKE_S,
        ORGANISATION,
        LimitedArrivals(2.0, context.arrivals_s),
        context.interruptions,
        tuple(context.cuts),
        tuple(context.host_runs),
        context.statements,
    )
    return find_violations(observations)


@then("the soak's checks find nothing")
def nothing(context):
    assert not run_checks(context), run_checks(context)


@when("the soak's records change: {change}")
def apply_change(context, change):
    CHANGES[change](context)


@then('the soak\'s checks find "{violation}"')
def finds(context, violation):
    assert [line for line in run_checks(context) if line.startswith(violation)], run_checks(
        context
    )
