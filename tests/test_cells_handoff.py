"""The handoff protocol: all orders of events are explored, with every guard in place and with one guard missing."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from typing import Any

import pytest

from sloeswitch.cells import delegation, handoff
from sloeswitch.cells.delegation import Delegation, DelegationState, TargetDecision, TargetRecord
from sloeswitch.cells.handoff import OriginRow, Placement, Result
from sloeswitch.cells.messages import Answer, AnswerMessage, HandoffId, Request, RequestMessage
from sloeswitch.cells.policy import MovePolicy
from tests.support.handoff_model import JOB, ORIGIN, TARGET, BrokenRuleError, Model, explore

FIRST = HandoffId(ORIGIN, JOB, 1)
SECOND = HandoffId(ORIGIN, JOB, 2)


@pytest.mark.parametrize(
    ("policy", "most_numbers"), [(MovePolicy.NEVER, 2), (MovePolicy.ONCE, 2), (MovePolicy.REPEATABLE, 1)]
)
def test_every_order_of_events_keeps_the_rules_and_can_end(policy: MovePolicy, most_numbers: int) -> None:
    """Includes lost, delayed and duplicated messages, transactions without an answer, and crashes of either side."""
    found = explore(Model(policy, most_numbers))
    assert found.states > 10 and found.stuck == 0


def _keep_floor(record: TargetRecord, held: Delegation, request: Request) -> TargetDecision:
    decision = _known(record, held, request)
    return replace(decision, record=replace(decision.record, floor=record.floor))


def _forget_refusals(record: TargetRecord, handoff_id: HandoffId, request: Request, room: bool) -> TargetDecision:
    decision = _decide(record, handoff_id, request, room)
    return TargetDecision(record, decision.answer) if decision.answer is Answer.REFUSED else decision


def _give_back_begun(held: Delegation) -> Delegation:
    return replace(held, state=DelegationState.CANCELLED) if held.startable else held


def _any_number(row: OriginRow, placement: Placement, message: AnswerMessage) -> bool:
    return placement.target == message.target


def _confirm_at_once(row: OriginRow) -> OriginRow:
    return replace(row, result=Result.CANCELLED) if row.cancelling and row.result is None else row


def _move_begun(row: OriginRow, target: str, idle_at_home: bool) -> bool:
    return row.startable and not row.recalls


def _acknowledge_nothing(message: AnswerMessage) -> RequestMessage | None:
    return None


_known, _decide = delegation._known, delegation.decide


@pytest.mark.parametrize(
    ("module", "name", "broken", "policy"),
    [
        (delegation, "_known", _keep_floor, MovePolicy.ONCE),
        (delegation, "decide", _forget_refusals, MovePolicy.ONCE),
        (Delegation, "give_back", _give_back_begun, MovePolicy.ONCE),
        (handoff, "_answers", _any_number, MovePolicy.ONCE),
        (handoff, "_settled", _confirm_at_once, MovePolicy.ONCE),
        (handoff, "_settled", _confirm_at_once, MovePolicy.REPEATABLE),
        (handoff, "can_move", _move_begun, MovePolicy.ONCE),
        (handoff, "can_move", _move_begun, MovePolicy.NEVER),
    ],
)
def test_a_missing_guard_breaks_a_rule(
    monkeypatch: pytest.MonkeyPatch, module: Any, name: str, broken: Callable[..., Any], policy: MovePolicy
) -> None:
    monkeypatch.setattr(module, name, broken)
    with pytest.raises(BrokenRuleError):
        explore(Model(policy, 1 if policy is MovePolicy.REPEATABLE else 2))


def test_without_acknowledgements_a_target_never_forgets(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(handoff, "acknowledgement", _acknowledge_nothing)
    assert explore(Model(MovePolicy.ONCE, 1)).stuck > 0


def accepted(number: int = 1) -> TargetRecord:
    return TargetRecord(0, Delegation(HandoffId(ORIGIN, JOB, number)))


def test_a_repeated_offer_is_answered_as_the_first_one() -> None:
    decision = delegation.decide(TargetRecord(), FIRST, Request.OFFER, room=True)
    again = delegation.decide(decision.record, FIRST, Request.OFFER, room=False)
    assert decision.answer is again.answer is Answer.ACCEPTED and again.record == decision.record


def test_a_refusal_fences_older_offers_of_the_origin_too() -> None:
    record = delegation.decide(TargetRecord(), SECOND, Request.OFFER, room=False).record
    assert delegation.decide(record, FIRST, Request.OFFER, room=True).answer is Answer.REFUSED


def test_a_question_about_a_handoff_that_was_never_heard_of_settles_nothing() -> None:
    decision = delegation.decide(TargetRecord(), FIRST, Request.QUERY, room=True)
    assert decision == TargetDecision(TargetRecord(), Answer.UNKNOWN)
    row = handoff.move(OriginRow(ORIGIN, JOB, MovePolicy.ONCE), TARGET, 1)
    assert handoff.learn(row, AnswerMessage(FIRST, TARGET, Answer.UNKNOWN)) == row


def test_a_withdrawal_that_overtakes_its_offer_fences_it() -> None:
    record = delegation.decide(TargetRecord(), FIRST, Request.WITHDRAW, room=True).record
    assert delegation.decide(record, FIRST, Request.OFFER, room=True).answer is Answer.REFUSED


def test_what_began_is_not_given_back_but_can_be_stopped() -> None:
    begun = replace(accepted(), delegation=Delegation(FIRST).begin())
    assert delegation.decide(begun, FIRST, Request.WITHDRAW, room=True).answer is Answer.BEGUN
    stopping = delegation.decide(begun, FIRST, Request.STOP, room=True)
    assert stopping.answer is Answer.STOPPING
    held = stopping.record.delegation
    assert held is not None and not held.final and held.stopped().final


def test_a_handoff_that_may_be_running_is_not_forgotten_by_an_acknowledgement() -> None:
    decision = delegation.decide(accepted(), FIRST, Request.ACKNOWLEDGE, room=True)
    assert decision == TargetDecision(accepted(), Answer.ACCEPTED)


def test_two_cells_may_offer_jobs_to_each_other_at_once() -> None:
    """Each cell stores its own job's row and the other cell's delegation; neither waits for the other."""
    there = HandoffId(TARGET, "wk-000002", 1)
    assert delegation.decide(TargetRecord(), FIRST, Request.OFFER, room=True).answer is Answer.ACCEPTED
    assert delegation.decide(TargetRecord(), there, Request.OFFER, room=True).answer is Answer.ACCEPTED


def test_a_repeatable_job_ends_with_the_first_result_and_stops_the_other_copy() -> None:
    row = handoff.move(OriginRow(ORIGIN, JOB, MovePolicy.REPEATABLE), TARGET, 1)
    row = handoff.take_back(row)
    assert row.startable and row.recalls == (Placement(TARGET, 1),)
    assert not handoff.can_move(row, TARGET, idle_at_home=True), "one handoff of a job on record"
    assert handoff.can_move(row, "east", idle_at_home=True)
    row = handoff.end_at_home(row)
    assert [message.request for _, message in handoff.requests(row)] == [Request.STOP]
    late = handoff.learn(row, AnswerMessage(FIRST, TARGET, Answer.DONE))
    assert late.result is Result.DONE and late.placements == ()


def test_a_job_that_may_begin_once_waits_for_a_target_out_of_reach() -> None:
    row = handoff.move(OriginRow(ORIGIN, JOB, MovePolicy.ONCE), TARGET, 1)
    assert handoff.take_back(row) == row
    assert [message.request for _, message in handoff.requests(row)] == [Request.OFFER]
    assert [message.request for _, message in handoff.requests(row, wanted_back=True)] == [Request.WITHDRAW]
    row = handoff.request_cancellation(row)
    assert row.result is None, "not confirmed while the target may start it"
    assert [message.request for _, message in handoff.requests(row, wanted_back=True)] == [Request.STOP]
    assert handoff.learn(row, AnswerMessage(FIRST, TARGET, Answer.STOPPED)).result is Result.CANCELLED
