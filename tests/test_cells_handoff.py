"""The handoff protocol: all orders of events are explored, with every guard in place and with one guard missing."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from typing import Any

import pytest

from sloeswitch.cells import delegation, handoff
from sloeswitch.cells.delegation import Delegation, DelegationState, TargetDecision, TargetRecord
from sloeswitch.cells.handoff import OpenHandoff, OriginRow, Result
from sloeswitch.cells.messages import Answer, AnswerMessage, HandoffId, Request, RequestMessage
from sloeswitch.cells.policy import MovePolicy
from tests.support.handoff_model import JOB, ORIGIN, TARGET, BrokenRuleError, Model, explore

FIRST = HandoffId(ORIGIN, JOB, 1)
SECOND = HandoffId(ORIGIN, JOB, 2)


@pytest.mark.parametrize(
    ("policy", "max_handoffs"), [(MovePolicy.NEVER, 2), (MovePolicy.ONCE, 2), (MovePolicy.REPEATABLE, 1)]
)
def test_every_order_of_events_keeps_the_rules_and_can_end(policy: MovePolicy, max_handoffs: int) -> None:
    """Includes lost, delayed and duplicated messages, transactions without an answer, and crashes of either side."""
    exploration = explore(Model(policy, max_handoffs))
    assert exploration.states > 10 and exploration.stuck == 0


def _keep_floor(record: TargetRecord, stored: Delegation, request: Request) -> TargetDecision:
    decision = _decide_recorded(record, stored, request)
    return replace(decision, record=replace(decision.record, floor=record.floor))


def _forget_refusals(
    record: TargetRecord, handoff_id: HandoffId, request: Request, has_capacity: bool
) -> TargetDecision:
    decision = _decide(record, handoff_id, request, has_capacity)
    return TargetDecision(record, decision.answer) if decision.answer is Answer.REFUSED else decision


def _withdraw_begun(stored: Delegation) -> Delegation:
    return replace(stored, state=DelegationState.WITHDRAWN) if stored.startable else stored


def _match_any_number(row: OriginRow, open_handoff: OpenHandoff, message: AnswerMessage) -> bool:
    return open_handoff.target == message.target


def _confirm_at_once(row: OriginRow) -> OriginRow:
    return replace(row, result=Result.CANCELLED) if row.cancelling and row.result is None else row


def _move_begun(row: OriginRow, target: str, unclaimed_in_origin: bool) -> bool:
    return row.startable and not row.recalled


def _acknowledge_nothing(message: AnswerMessage) -> RequestMessage | None:
    return None


_decide_recorded, _decide = delegation._decide_recorded, delegation.decide


@pytest.mark.parametrize(
    ("module", "name", "broken", "policy"),
    [
        (delegation, "_decide_recorded", _keep_floor, MovePolicy.ONCE),
        (delegation, "decide", _forget_refusals, MovePolicy.ONCE),
        (Delegation, "withdraw", _withdraw_begun, MovePolicy.ONCE),
        (handoff, "_matches", _match_any_number, MovePolicy.ONCE),
        (handoff, "_confirm_cancellation", _confirm_at_once, MovePolicy.ONCE),
        (handoff, "_confirm_cancellation", _confirm_at_once, MovePolicy.REPEATABLE),
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


def test_a_target_keeps_its_record_without_an_acknowledgement(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(handoff, "acknowledgement", _acknowledge_nothing)
    assert explore(Model(MovePolicy.ONCE, 1)).stuck > 0


def accepted(number: int = 1) -> TargetRecord:
    return TargetRecord(0, Delegation(HandoffId(ORIGIN, JOB, number)))


def test_a_repeated_offer_is_answered_as_the_first_one() -> None:
    decision = delegation.decide(TargetRecord(), FIRST, Request.OFFER, has_capacity=True)
    again = delegation.decide(decision.record, FIRST, Request.OFFER, has_capacity=False)
    assert decision.answer is again.answer is Answer.ACCEPTED and again.record == decision.record


def test_a_refusal_fences_older_offers_of_the_origin_too() -> None:
    record = delegation.decide(TargetRecord(), SECOND, Request.OFFER, has_capacity=False).record
    assert delegation.decide(record, FIRST, Request.OFFER, has_capacity=True).answer is Answer.REFUSED


def test_a_query_for_an_unknown_handoff_changes_nothing() -> None:
    decision = delegation.decide(TargetRecord(), FIRST, Request.QUERY, has_capacity=True)
    assert decision == TargetDecision(TargetRecord(), Answer.UNKNOWN)
    row = handoff.move(OriginRow(ORIGIN, JOB, MovePolicy.ONCE), TARGET, 1)
    assert handoff.apply_answer(row, AnswerMessage(FIRST, TARGET, Answer.UNKNOWN)) == row


def test_a_withdrawal_that_overtakes_its_offer_fences_it() -> None:
    record = delegation.decide(TargetRecord(), FIRST, Request.WITHDRAW, has_capacity=True).record
    assert delegation.decide(record, FIRST, Request.OFFER, has_capacity=True).answer is Answer.REFUSED


def test_a_begun_handoff_is_not_withdrawn_but_can_be_stopped() -> None:
    begun = replace(accepted(), delegation=Delegation(FIRST).begin())
    assert delegation.decide(begun, FIRST, Request.WITHDRAW, has_capacity=True).answer is Answer.BEGUN
    stopping = delegation.decide(begun, FIRST, Request.STOP, has_capacity=True)
    assert stopping.answer is Answer.STOPPING
    stored = stopping.record.delegation
    assert stored is not None and not stored.final and stored.confirm_stopped().final


def test_an_acknowledgement_does_not_delete_a_handoff_that_is_not_final() -> None:
    decision = delegation.decide(accepted(), FIRST, Request.ACKNOWLEDGE, has_capacity=True)
    assert decision == TargetDecision(accepted(), Answer.ACCEPTED)


def test_two_cells_may_offer_jobs_to_each_other_at_once() -> None:
    """Each cell stores its own job's row and the other cell's delegation; neither waits for the other."""
    reverse = HandoffId(TARGET, "wk-000002", 1)
    assert delegation.decide(TargetRecord(), FIRST, Request.OFFER, has_capacity=True).answer is Answer.ACCEPTED
    assert delegation.decide(TargetRecord(), reverse, Request.OFFER, has_capacity=True).answer is Answer.ACCEPTED


def test_a_repeatable_job_ends_with_the_first_result_and_stops_the_other_copy() -> None:
    row = handoff.move(OriginRow(ORIGIN, JOB, MovePolicy.REPEATABLE), TARGET, 1)
    row = handoff.recall(row)
    assert row.startable and row.recalled == (OpenHandoff(TARGET, 1),)
    assert not handoff.can_move(row, TARGET, unclaimed_in_origin=True), "one handoff of a job on record"
    assert handoff.can_move(row, "east", unclaimed_in_origin=True)
    row = handoff.complete_in_origin(row)
    assert [message.request for _, message in handoff.requests(row)] == [Request.STOP]
    late = handoff.apply_answer(row, AnswerMessage(FIRST, TARGET, Answer.DONE))
    assert late.result is Result.DONE and late.open_handoffs == ()


def test_a_once_job_is_not_recalled_from_an_unreachable_target() -> None:
    row = handoff.move(OriginRow(ORIGIN, JOB, MovePolicy.ONCE), TARGET, 1)
    assert handoff.recall(row) == row
    assert [message.request for _, message in handoff.requests(row)] == [Request.OFFER]
    assert [message.request for _, message in handoff.requests(row, withdraw=True)] == [Request.WITHDRAW]
    row = handoff.request_cancellation(row)
    assert row.result is None, "not confirmed while the target may start it"
    assert [message.request for _, message in handoff.requests(row, withdraw=True)] == [Request.STOP]
    assert handoff.apply_answer(row, AnswerMessage(FIRST, TARGET, Answer.STOPPED)).result is Result.CANCELLED
