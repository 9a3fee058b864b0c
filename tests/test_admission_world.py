"""Four controllers with failures, under overload: decisions agree, no lane starves, and all jobs end."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import replace

import pytest

from sloeswitch.admission.cuts import AdmissionRow, Lane, LaneCut
from sloeswitch.admission.decisions import CutReader, Decision, DecisionReason
from sloeswitch.admission.epoch import Epoch
from sloeswitch.core.records import Job
from tests.support.admission import AdmissionWorld, play

STEPS, CALM_STEPS, JOBS = 350, 1500, 60


@pytest.mark.parametrize("seed", [2, 3, 6])
def test_controllers_decide_alike_and_all_jobs_end_after_failures_stop(seed: int) -> None:
    world = play(seed, STEPS, CALM_STEPS, JOBS)
    assert world.unfinished() == set()
    # The simulation did exercise deferral, starts, crashes and epochs.
    assert (
        world.deferred() > 5 and world.starts > 50 and world.event_counts["crash"] and world.event_counts["look"] > 50
    )


def test_detects_controllers_that_admit_deferred_jobs(monkeypatch: pytest.MonkeyPatch) -> None:
    decide = CutReader.decide
    calls = 0

    def admit_every_fifth_deferral(reader: CutReader, job: Job) -> Decision:
        nonlocal calls
        calls += 1
        decision = decide(reader, job)
        admits = decision.reason is DecisionReason.DEFERRED and decision.row is not None and calls % 5 == 0
        return decision._replace(reason=DecisionReason.CUT) if admits else decision

    monkeypatch.setattr(CutReader, "decide", admit_every_fifth_deferral)
    with pytest.raises(AssertionError, match="decisions differ"):
        play(2, STEPS, CALM_STEPS, JOBS)


def test_detects_a_lowered_cut(monkeypatch: pytest.MonkeyPatch) -> None:
    def lowered(
        row: AdmissionRow, common: LaneCut, lanes: Mapping[Lane, LaneCut], deficits: Mapping[str, float]
    ) -> AdmissionRow:
        return replace(row, number=row.number + 1, common=common, lanes=dict(lanes), deficits={})

    monkeypatch.setattr(AdmissionRow, "raised", lowered)
    with pytest.raises(AssertionError, match="a cut was lowered"):
        play(2, STEPS, CALM_STEPS, JOBS)


def test_detects_a_lane_without_starvation_timeout(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Epoch, "_admit_starved_heads", lambda epoch: None)
    with pytest.raises(AssertionError, match="a lane starves"):
        play(2, STEPS, CALM_STEPS, JOBS)


def test_nothing_is_deferred_and_no_row_is_written_while_switched_off() -> None:
    world = AdmissionWorld(1, deferring=False)
    world.start()
    for _ in range(150):
        world.submit_at_random(JOBS)
        world.step()
    assert world.store.tables.admission_rows == {} and world.accepted_jobs and not any(world.logs.values())
