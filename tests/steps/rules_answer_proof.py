"""Steps of rules/answer_proof.feature."""

from __future__ import annotations

from behave import then

from redwingbank.model import Outcome
from redwingbank.rules.answer_proof import (
    PROOF_BY_KIND,
    AnswerKind,
    classify_answer,
    classify_failure,
    proved_traits,
)

TRAITS = ("request", "last part", "first part")
PROVED = {"all": TRAITS, "the request alone": TRAITS[:1], "nothing": ()}
KIND_BY_TEXT = {
    "events for over a second": AnswerKind.EVENTS,
    "an answer that breaks off": classify_failure(Outcome.CLOSED_EARLY),
    "an answer of another request": classify_failure(Outcome.GARBAGE),
}


def classify(answer):
    if answer in KIND_BY_TEXT:
        return KIND_BY_TEXT[answer]
    status, *stated = answer.split(", ")
    return classify_answer(int(status), stamped="signed" in stated, not_run="not run" in stated)


@then("{answer} proves {proved} of a request with two parts")
def proves(context, answer, proved):
    assert proved_traits(classify(answer), TRAITS) == PROVED[proved]


@then("each kind of answer has a proof with a reason")
def reasons(context):
    assert PROOF_BY_KIND.keys() == set(AnswerKind)
    assert all(proof.reason for proof in PROOF_BY_KIND.values())
