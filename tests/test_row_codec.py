"""Encoding and decoding of rows, without the tables (tests/test_frozen_rows.py checks the stored bytes)."""

from __future__ import annotations

import msgspec
import pytest

from sloeswitch.cells.handoff import OpenHandoff, OriginRow
from sloeswitch.cells.policy import MovePolicy
from sloeswitch.core import row_codec
from sloeswitch.core.incarnation import Incarnation
from sloeswitch.core.records import (
    IncomingHandoff,
    Job,
    JobState,
    MachineRow,
    Progress,
    SpecChunks,
    View,
)
from sloeswitch.wire import MachineTypeCatalog
from tests.conftest import MACHINE_TYPE, spec

JOB = "wk-000001"
MACHINE = MachineRow("127.0.0.1:9000", "small", "a", True, "s1/g/c0.1.1")


def test_an_unknown_state_is_written_back_unchanged() -> None:
    row = row_codec.encode_job("paused", spec(JOB), 5)
    state = row_codec.decode_job_row(JOB, row, 1).status
    assert state == "paused" and state not in list(JobState)
    assert row_codec.encode_job(state, spec(JOB), 5) == row


@pytest.mark.parametrize("state", JobState)
def test_a_known_state_is_decoded_to_its_enum(state: JobState) -> None:
    value = msgspec.json.decode(msgspec.json.encode(row_codec.encode_finished_job(state, spec(JOB), 7)))
    row = row_codec.decode_job_row(JOB, value, 3)
    assert row.status is state and not row.has_spec
    finished = row_codec.decode_finished_job(row)
    assert (finished.status, finished.tasks, finished.finished_ms, finished.mod_revision) == (state, 4, 7, 3)


def test_a_spec_is_in_the_row_or_in_chunks() -> None:
    encoded = row_codec.encode_job(JobState.LIVE, spec(JOB), 5)
    encoded_chunks = row_codec.encode_job(JobState.LIVE, spec(JOB), 5, SpecChunks("c0.1.2", 3))
    whole, chunked = (row_codec.decode_job_row(JOB, value, 1) for value in (encoded, encoded_chunks))
    assert whole.has_spec and chunked.has_spec
    assert row_codec.decode_spec(whole) == spec(JOB) and row_codec.decode_spec_chunks(whole) is None
    assert row_codec.decode_spec_chunks(chunked) == SpecChunks("c0.1.2", 3)


@pytest.mark.parametrize("max_bytes", [1, 3, 100, 100_000])
def test_a_split_spec_is_joined_again_and_its_chunks_fit(max_bytes: int) -> None:
    texts = row_codec.split_spec(spec(JOB), max_bytes)
    assert row_codec.join_spec(texts) == spec(JOB)
    assert all(len(msgspec.json.encode(text)) <= max(3, max_bytes) for text in texts)


def test_handoffs_are_decoded_as_they_were_encoded() -> None:
    handoff = OriginRow("", JOB, MovePolicy.ONCE, OpenHandoff("south", 7), (OpenHandoff("west", 6),), cancelling=True)
    job = Job(spec(JOB), JobState.LIVE, 1, 1, 0, outgoing_handoffs=handoff, returned_ms=9)
    job.incoming_handoff = IncomingHandoff("north", 4)
    row = row_codec.decode_job_row(JOB, {"s": "live"} | row_codec.encode_job_handoffs(job), 1)
    assert (row.outgoing_handoffs, row.incoming_handoff) == (handoff, IncomingHandoff("north", 4))
    assert row_codec.decode_returned_ms(row) == 9
    row = row_codec.decode_job_row(JOB, {"s": "live"}, 1)
    assert (row.outgoing_handoffs, row.incoming_handoff, row_codec.decode_returned_ms(row)) == (None, None, 0)


def test_a_finished_job_keeps_only_handoffs_that_are_still_to_be_stopped() -> None:
    job = Job(spec(JOB), JobState.LIVE, 1, 1, 0, outgoing_handoffs=OriginRow("", JOB, MovePolicy.ONCE))
    assert row_codec.encode_job_handoffs(job) == {"h": {"p": MovePolicy.ONCE.value}}
    assert row_codec.encode_job_handoffs(job, finished=True) == {}


@pytest.mark.parametrize("dense", [False, True])
def test_progress_is_decoded_as_it_was_encoded_without_empty_claims(dense: bool) -> None:
    progress = Progress(0b1011, {"c0.1": 0b100, "c1.2": 0}, "a", 2)
    row = msgspec.json.decode(msgspec.json.encode(row_codec.encode_progress(progress, dense)))
    assert row_codec.decode_progress(row) == Progress(0b1011, {"c0.1": 0b100}, "a", 2)
    assert row_codec.decode_progress(row | {"e": 17}).adoption_revision == 17


def test_a_machine_is_the_same_in_its_group_and_in_a_row_of_its_own() -> None:
    assert row_codec.decode_grouped_machine(row_codec.encode_machine(MACHINE), MACHINE.key) == MACHINE
    single = {"a": "127.0.0.1:9000", "t": "small", "z": "a", "s": True}
    assert row_codec.decode_machine(single, MACHINE.key) == MACHINE


def test_split_groups_fit_a_value_and_hold_each_machine_once() -> None:
    rows = {f"vm-{number}": row_codec.encode_machine(MACHINE) for number in range(40)}
    groups = row_codec.split_machine_groups(rows, 300)
    assert len(groups) > 1 and all(len(msgspec.json.encode({"m": group})) <= 300 for group in groups)
    assert [name for group in groups for name in group] == list(rows)


def test_rows_of_controllers_are_decoded() -> None:
    assert row_codec.decode_view({"n": 4, "members": [["c0", 7]]}) == View(4, (Incarnation("c0", 7),))
    assert row_codec.decode_coordinator({"member": "c0", "boot": 7}) == ("c0", 7)
    assert row_codec.decode_member({"boot": 7, "settled": 3}).layout == 1, "layout 1 did not name itself"
    assert row_codec.decode_quota_allocations({"c0.7": [8.0, 1.0]})["c0.7"].gpus == 1.0
    with pytest.raises(ValueError):
        row_codec.decode_quota_allocations({"c0.7": [8.0]})
    types = msgspec.to_builtins(MachineTypeCatalog([MACHINE_TYPE]))
    assert row_codec.decode_machine_types(types) == [MACHINE_TYPE]
