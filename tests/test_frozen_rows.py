"""Every kind of stored row is read from its frozen text and written as it, byte for byte (tests/frozen).

The data files are never changed, because production systems store such rows. Only the Python names here and in
tests/support/frozen.py follow renames. The data files are:

- rows_read: stored rows, by the name of the example;
- rows_state: the tables after reading these rows;
- rows_after_drop: the tables after these rows are deleted again;
- rows_written: the rows that each case below writes, by the name of its function.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any

import anyio
import pytest

from sloeswitch import wire
from sloeswitch.actors.feature_rollout import FeatureRollout
from sloeswitch.actors.job_messages import ClaimRequest
from sloeswitch.actors.scale_in import ScaleIn
from sloeswitch.actors.scale_out import ScaleOut
from sloeswitch.admission.coordinator import AdmissionCoordinator
from sloeswitch.admission.cuts import AdmissionRow, Lane, LaneCut, Ticket
from sloeswitch.cells.frames import CellAnswer, CellRequest, Offer
from sloeswitch.cells.messages import Answer, HandoffId, Request, RequestMessage
from sloeswitch.cells.origin import CellOrigin
from sloeswitch.cells.policy import MovePolicy
from sloeswitch.cells.target import CellTarget
from sloeswitch.core import keys
from sloeswitch.core.quota import ResourceAmount
from sloeswitch.core.quota_changes import QuotaDecrease
from sloeswitch.core.tables import Tables
from sloeswitch.core.uncommitted_updates import TaskUpdates
from sloeswitch.features import AdmissionFeatures, CellFeatures, PeerCell
from sloeswitch.frame_link import NoAnswerError
from tests.conftest import MACHINE_TYPE, spec, worker_report
from tests.support.clock import Clock
from tests.support.frozen import BASE_REVISION, RowRecorder, dump, format_line, frozen, parse_line
from tests.support.single_controller import unregister

JOB, COMPLEX, THIRD = "wk-000001", "wk-000002", "wk-000003"
READ: dict[str, list[str]] = frozen("rows_read")
STATE: dict[str, str] = frozen("rows_state")
AFTER_DROP: dict[str, str] = frozen("rows_after_drop")
WRITTEN: dict[str, list[str]] = frozen("rows_written")
EVERY_FIELD: dict[str, Any] = {
    "crew": "red",
    "shape": "group",
    "urgency": "critical",
    "visits": 2,
    "cores": 2.5,
    "accelerators": 1.5,
    "memoryGb": 3.0,
    "kit": "img-2",
    "pullGb": 4.0,
    "builds": ["small", "large"],
    "district": "b",
    "together": True,
    "loaners": False,
    "expectedS": 5.0,
    "snapshotS": 6.0,
    "stashS": 7.0,
    "dueS": 90.0,
    "awaits": [JOB, THIRD],
}


@pytest.fixture(autouse=True)
def fixed_wall_clock(monkeypatch: pytest.MonkeyPatch) -> None:
    """Fixes the wall clock at one time."""
    monkeypatch.setattr(Clock, "wall_clock_ms", lambda _clock: 1_700_000_000_250)


# -- membership, layout and features


def member(world: RowRecorder) -> None:
    world.membership.recovered_view = 4
    assert world.run(world.membership._write_member)


def coordinator(world: RowRecorder) -> None:
    world.run(world.membership._coordinate)


def view(world: RowRecorder) -> None:
    world.put_frozen("coordinator", "member")
    world.run(world.membership._coordinate)


def layout_mark(world: RowRecorder) -> None:
    world.run(world.membership._record_layout)
    world.put_frozen("member")
    world.store.put(keys.LAYOUT_KEY, {"seen": ["c1"], "complete": False})
    world.run(world.membership._record_layout)


def feature_mark(world: RowRecorder) -> None:
    world.put_frozen("layout mark, complete")
    for name in ("cells", "admission"):
        world.run(FeatureRollout(name, world.context).record_member)
    world.put_frozen("feature mark, begun")
    world.run(FeatureRollout("cells", world.context).record_member)


# -- machines


def catalog(world: RowRecorder) -> None:
    cloud: Any = None
    scale_out = ScaleOut(world.context, cloud, ScaleIn(world.context, cloud))
    large_type = wire.MachineType("large", 64.0, 4.0, 256.0, 500.0, 2.0, 4.0, 1.5, 60.0, ["b"])
    world.run(scale_out._store_catalog, [MACHINE_TYPE, large_type])
    world.put_frozen("layout mark, complete")
    world.client.max_value_bytes = 200
    world.run(scale_out._store_catalog, [MACHINE_TYPE, large_type])
    world.client.max_value_bytes = 400
    world.run(scale_out._store_catalog, [MACHINE_TYPE])


def register(world: RowRecorder) -> None:
    """Registers two reporting machines in a single pass, so that the test ends even if the rows are not read back."""
    for name in ("vm-000000", "vm-000001"):
        world.heartbeat(worker_report(1, 0, name=name))
        world.heartbeat(worker_report(2, 3, name=name))

    async def register_once() -> None:
        async with anyio.create_task_group() as group:
            world.machines.group = group
            world.machines._register()

    world.machines.registration.write_pause_s = 0.0
    world.run(register_once)


def machine_group(world: RowRecorder) -> None:
    register(world)


def single_machines(world: RowRecorder) -> None:
    world.put_frozen("member of layout 1")
    register(world)


def group_without_machines(world: RowRecorder) -> None:
    world.put_frozen("one group", "single machines of layout 1", "groups")
    unregister(world, "vm-1")
    unregister(world, "vm-2", "vm-3")


def group_in_parts(world: RowRecorder) -> None:
    world.put_frozen("one group", "layout mark, complete")
    world.client.max_value_bytes = 64
    unregister(world, "vm-1")


def group_in_parts_first(world: RowRecorder) -> None:
    world.put_frozen("one group", "layout mark, complete")
    world.client.max_value_bytes, world.client.max_transaction_changes = 64, 2
    unregister(world, "vm-1")


def single_machine_deleted(world: RowRecorder) -> None:
    world.put_frozen("single machines of layout 1")
    unregister(world, "vm-2")


# -- jobs


def submit(world: RowRecorder, name: str, **changes: Any) -> None:
    assert world.run(world.jobs.submit, spec(name, **changes)) is not None


def job(world: RowRecorder) -> None:
    submit(world, JOB)


def job_with_every_field(world: RowRecorder) -> None:
    submit(world, COMPLEX, **EVERY_FIELD)


def job_in_parts(world: RowRecorder) -> None:
    world.put_frozen("layout mark, complete")
    world.client.max_value_bytes = 200
    submit(world, JOB)


def job_done(world: RowRecorder) -> None:
    world.put_frozen("job")
    world.commit_and_place(ClaimRequest(task_counts={JOB: 4}, quota_increases={"red": ResourceAmount(8.0, 0.0)}))
    world.send_task_updates(TaskUpdates(done={JOB: 0b1111}))
    world.advance_time(20.0)
    world.commit_and_place()


def jobs_cancelled_unclaimed(world: RowRecorder) -> None:
    world.put_frozen("job", "job in parts")
    for name in (JOB, "wk-000004"):
        assert world.run(world.jobs.cancel, name) == wire.JobStatus.CANCELLED


def job_cancelled_with_tasks(world: RowRecorder) -> None:
    world.put_frozen("progress")
    cancel_and_release(world, JOB, 0b100)


def job_in_parts_cancelled_with_tasks(world: RowRecorder) -> None:
    world.put_frozen("layout mark, complete", "job in parts")
    world.commit_and_place(ClaimRequest(task_counts={"wk-000004": 3}))
    cancel_and_release(world, "wk-000004", 0b111)


def job_of_layout_2_cancelled_with_tasks(world: RowRecorder) -> None:
    world.put_frozen("job of layout 2")
    world.store.put(*parse_line('s1/r/wk-000001 {"d":[0,1],"c":{"c0.1":[1,1]}}'))
    cancel_and_release(world, JOB, 0b10)


def job_with_every_field_cancelled_with_tasks(world: RowRecorder) -> None:
    world.put_frozen("job with every field")
    world.store.put(*parse_line('s1/r/wk-000002 {"d":[],"c":{"c0.1":[0,2]}}'))
    cancel_and_release(world, COMPLEX, 0b11)


def cancel_and_release(world: RowRecorder, name: str, tasks: int) -> None:
    assert world.run(world.jobs.cancel, name) == wire.JobStatus.CANCELLED
    world.send_task_updates(TaskUpdates(released={name: tasks}))
    world.advance_time(20.0)
    world.commit_and_place()


def job_withdrawn_before_layout_3(world: RowRecorder) -> None:
    world.put_frozen("job withdrawn, with tasks, before layout 3")
    world.send_task_updates(TaskUpdates(released={JOB: 1}))
    world.advance_time(20.0)
    world.commit_and_place()


def cleared_away(world: RowRecorder) -> None:
    world.put_frozen("coordinator", "layout mark, complete", "job over with its progress", "parts without a job")
    world.put_frozen("adoptions that the progress holds")
    world.run(world.jobs.garbage_collector.collect)
    world.advance_time(100.0)
    world.run(world.jobs.garbage_collector.collect)


# -- progress


def progress_before_the_mark(world: RowRecorder) -> None:
    world.put_frozen("progress with every field")
    world.send_task_updates(TaskUpdates(done={JOB: 0b1010000000}, released={JOB: 0b1000}))
    world.advance_time(20.0)
    world.commit_and_place()


def progress_after_the_mark(world: RowRecorder) -> None:
    world.put_frozen("layout mark, complete")
    progress_before_the_mark(world)


def scattered_claims(world: RowRecorder) -> None:
    world.put_frozen("layout mark, complete", "progress with every field")
    world.store.put(*parse_line('s1/r/wk-000001 {"d":[],"c":{"c0.1":[0,9]},"z":"b"}'))
    world.send_task_updates(TaskUpdates(released={JOB: 0b10101010}))
    world.advance_time(20.0)
    world.commit_and_place()


def progress_with_a_zone(world: RowRecorder) -> None:
    world.put_frozen("job with every field")
    for name in (JOB, THIRD):
        world.store.put(*parse_line(f's1/j/{name} {{"s":"done","n":1}}'))
    tasks_in_zone, zones = {COMPLEX: 0b11}, {COMPLEX: "b"}
    world.commit_and_place(ClaimRequest(task_counts={COMPLEX: 2}, zone_bound_tasks=tasks_in_zone, zones=zones))


def progress_beside_adoptions(world: RowRecorder) -> None:
    world.put_frozen("layout mark, complete", "adoptions after the progress")
    world.send_task_updates(TaskUpdates(done={JOB: 0b10}))
    world.advance_time(20.0)
    world.commit_and_place()


def adoptions_before_the_mark(world: RowRecorder) -> None:
    world.put_frozen("progress", "team limits")
    world.send_task_updates(TaskUpdates(adopted={JOB: 0b11000}, view_number=3))
    world.commit_and_place()


def adoptions_after_the_mark(world: RowRecorder) -> None:
    world.put_frozen("layout mark, complete", "progress", "team limits")
    world.send_task_updates(TaskUpdates(adopted={JOB: 0b101001000}, view_number=3))
    world.commit_and_place()


def team_limit(world: RowRecorder) -> None:
    world.commit_and_place(ClaimRequest(quota_increases={"red": ResourceAmount(8.5, 0.0)}))
    revision = world.store.tables.mod_revision(keys.quota_key("red"))
    world.commit_and_place(ClaimRequest(quota_decreases={"red": QuotaDecrease(revision, 2.25, 0.0)}))
    revision = world.store.tables.mod_revision(keys.quota_key("red"))
    world.commit_and_place(ClaimRequest(quota_decreases={"red": QuotaDecrease(revision, 0.0, 0.0)}))


# -- admission


def admission_root(world: RowRecorder) -> None:
    world.put_frozen("layout mark, complete", "feature marks, complete", "coordinator")
    features = AdmissionFeatures(True)
    admission_coordinator = AdmissionCoordinator(world.context, features, list, {})
    world.run(admission_coordinator.run_epoch)


def admission_every_field(world: RowRecorder) -> None:
    common = LaneCut(Ticket(1000, JOB), 2000)
    lanes = {
        Lane("red", "train", "urgent"): LaneCut(Ticket(1900, THIRD), 3500),
        Lane("red", "train", "standard"): LaneCut(Ticket(1500, COMPLEX), 900),
        Lane("blue", "index", "standard"): LaneCut(Ticket(1001, ""), 2000),
    }
    row = AdmissionRow(4, common, lanes, {"red": 12.54, "blue": 0.0, "green": -3.0})
    root, parts = row.children("")
    for path, path_row in {"": row, **parts}.items():
        world.lines.append(format_line(keys.admission_key(path), path_row.stored()))
    world.lines.append(format_line(keys.admission_key(""), root.stored()))


def admission_read_and_written(world: RowRecorder) -> None:
    world.put_frozen("admission rows with every field")
    for path, row in sorted(world.store.tables.admission_rows.items()):
        higher = row.raised(LaneCut(Ticket(1200, COMPLEX), 9000), {}, row.deficits)
        world.lines += [format_line(keys.admission_key(path), version.stored()) for version in (row, higher)]


# -- other cells


class ScriptedLink:
    """A link to a cell with scripted answers; None stands for a lost answer."""

    def __init__(self, *answers: Answer | None) -> None:
        self.answers = list(answers)

    async def request(self, request: CellRequest) -> CellAnswer:
        """Returns the next scripted answer; an acknowledgement gets an empty answer and uses none of them."""
        if request.message.request is Request.ACKNOWLEDGE:
            return CellAnswer(1, None)
        answer = self.answers.pop(0)
        if answer is None:
            raise NoAnswerError("lost")
        return CellAnswer(1, answer)

    async def summary(self) -> None:
        """Returns no summary."""


def cell_features() -> CellFeatures:
    policies = {"once": MovePolicy.ONCE, "again": MovePolicy.REPEATABLE}
    return CellFeatures("north", 1, True, 30, (PeerCell("south", ()),), policies)


def make_origin(world: RowRecorder, *answers: Answer | None) -> CellOrigin:
    world.put_frozen("layout mark, complete", "feature marks, complete")
    links: Any = {"south": ScriptedLink(*answers)}
    return CellOrigin(world.context, cell_features(), list, links)


def moved_and_taken_back(world: RowRecorder) -> None:
    cell_origin = make_origin(world, None, None, Answer.ACCEPTED)
    world.put_frozen("job")
    world.run(cell_origin._start_handoff, world.store.tables.jobs[JOB], "south")
    world.run(cell_origin.poll_peer, "south")
    world.advance_time(50.0)
    world.run(cell_origin.poll_peer, "south")


def moved_and_given_back(world: RowRecorder) -> None:
    cell_origin = make_origin(world, Answer.REFUSED)
    world.put_frozen("job offered to a cell")
    world.run(cell_origin.poll_peer, "south")


def moved_and_done(world: RowRecorder) -> None:
    cell_origin = make_origin(world, Answer.DONE)
    world.put_frozen("job offered to a cell")
    world.run(cell_origin.poll_peer, "south")


def every_handoff_field(world: RowRecorder) -> None:
    cell_origin = make_origin(world, Answer.STOPPED)
    world.put_frozen("job with every field of a handoff")
    world.run(cell_origin.poll_peer, "south")


def done_elsewhere_with_a_handoff_left(world: RowRecorder) -> None:
    cell_origin = make_origin(world, Answer.DONE)
    world.put_frozen("job with every field of a handoff")
    world.run(cell_origin.poll_peer, "south")


def over_with_handoffs(world: RowRecorder) -> None:
    cell_origin = make_origin(world, Answer.STOPPED, Answer.STOPPED)
    world.put_frozen("jobs over that await other cells")
    world.run(cell_origin.poll_peer, "south")


def cancellation_of_a_moved_job(world: RowRecorder) -> None:
    cell_origin = make_origin(world, Answer.STOPPED)
    world.put_frozen("job offered to a cell")
    assert world.run(world.jobs.cancel, JOB) is None
    world.run(cell_origin.poll_peer, "south")


def cancellation_of_a_moved_job_with_tasks(world: RowRecorder) -> None:
    cell_origin = make_origin(world, Answer.STOPPED)
    world.put_frozen("job offered to a cell")
    world.store.put(*parse_line('s1/r/wk-000001 {"d":[0,1],"c":{"c0.1":[1,1]}}'))
    assert world.run(world.jobs.cancel, JOB) is None
    world.run(cell_origin.poll_peer, "south")


def handoffs_beside_the_end(world: RowRecorder) -> None:
    """A job that runs in its own cell while an earlier handoff of it is not stopped yet."""
    world.store.put(keys.job_key(JOB), recalled_job())
    world.commit_and_place(ClaimRequest(task_counts={JOB: 4}))
    world.send_task_updates(TaskUpdates(done={JOB: 0b1111}))
    world.advance_time(20.0)
    world.commit_and_place()


def recalled_job() -> Any:
    key, value = parse_line(READ["job offered to a cell"][0])
    assert key == keys.job_key(JOB)
    return {**value, "h": {"p": "repeatable", "r": [["south", 20]]}}


def cancellation_after_its_return(world: RowRecorder) -> None:
    world.put_frozen("job that came back, with tasks")
    cancel_and_release(world, JOB, 0b110)


def recall_of_a_cancelled_job(world: RowRecorder) -> None:
    cell_origin = make_origin(world, Answer.STOPPED)
    world.store.put(keys.job_key(JOB), {**recalled_job(), "s": "withdrawn", "x": 5000})
    world.store.put(*parse_line('s1/r/wk-000001 {"d":[0,1],"c":{"c0.1":[1,1]}}'))
    world.run(cell_origin.poll_peer, "south")


def make_target(world: RowRecorder, monkeypatch: pytest.MonkeyPatch) -> CellTarget:
    world.put_frozen("layout mark, complete", "feature marks, complete")
    cell_target = CellTarget(world.context, cell_features(), world.jobs)
    monkeypatch.setattr(cell_target, "_can_accept", lambda handoff, offer: offer is not None)
    return cell_target


def send_request(world: RowRecorder, cell_target: CellTarget, request: Request, number: int = 40) -> Answer | None:
    offer = Offer(spec(JOB, roster="again", visits=1), 1000) if request is Request.OFFER else None
    message = RequestMessage(HandoffId("south", JOB, number), request)
    answer: Answer | None = world.run(cell_target.answer, CellRequest(message, 1, offer))
    return answer


def accepted_and_done(world: RowRecorder, monkeypatch: pytest.MonkeyPatch) -> None:
    cell_target = make_target(world, monkeypatch)
    assert send_request(world, cell_target, Request.OFFER) is Answer.ACCEPTED
    world.commit_and_place(ClaimRequest(task_counts={JOB: 1}))
    world.send_task_updates(TaskUpdates(done={JOB: 1}))
    world.advance_time(20.0)
    world.commit_and_place()
    assert send_request(world, cell_target, Request.ACKNOWLEDGE) is Answer.DONE


def accepted_and_withdrawn(world: RowRecorder, monkeypatch: pytest.MonkeyPatch) -> None:
    cell_target = make_target(world, monkeypatch)
    world.put_frozen("job handed over by a cell")
    assert send_request(world, cell_target, Request.WITHDRAW) is not None


def accepted_and_stopped(world: RowRecorder, monkeypatch: pytest.MonkeyPatch) -> None:
    cell_target = make_target(world, monkeypatch)
    world.put_frozen("job handed over by a cell")
    world.commit_and_place(ClaimRequest(task_counts={JOB: 1}))
    assert send_request(world, cell_target, Request.STOP) is Answer.STOPPING
    world.send_task_updates(TaskUpdates(released={JOB: 1}))
    world.advance_time(20.0)
    world.commit_and_place()


def refused(world: RowRecorder, monkeypatch: pytest.MonkeyPatch) -> None:
    cell_target = make_target(world, monkeypatch)
    assert send_request(world, cell_target, Request.STOP, 39) is Answer.REFUSED


CASES: tuple[Callable[[RowRecorder], None], ...] = (
    member,
    coordinator,
    view,
    layout_mark,
    feature_mark,
    catalog,
    machine_group,
    single_machines,
    group_without_machines,
    group_in_parts,
    group_in_parts_first,
    single_machine_deleted,
    job,
    job_with_every_field,
    job_in_parts,
    job_done,
    jobs_cancelled_unclaimed,
    job_cancelled_with_tasks,
    job_in_parts_cancelled_with_tasks,
    job_of_layout_2_cancelled_with_tasks,
    job_with_every_field_cancelled_with_tasks,
    job_withdrawn_before_layout_3,
    cleared_away,
    progress_before_the_mark,
    progress_after_the_mark,
    scattered_claims,
    progress_with_a_zone,
    progress_beside_adoptions,
    adoptions_before_the_mark,
    adoptions_after_the_mark,
    team_limit,
    admission_root,
    admission_every_field,
    admission_read_and_written,
    moved_and_taken_back,
    moved_and_given_back,
    moved_and_done,
    every_handoff_field,
    done_elsewhere_with_a_handoff_left,
    over_with_handoffs,
    cancellation_of_a_moved_job,
    cancellation_of_a_moved_job_with_tasks,
    handoffs_beside_the_end,
    cancellation_after_its_return,
    recall_of_a_cancelled_job,
)
TARGET_CASES: tuple[Callable[[RowRecorder, pytest.MonkeyPatch], None], ...] = (
    accepted_and_done,
    accepted_and_withdrawn,
    accepted_and_stopped,
    refused,
)


def written_rows(name: str, monkeypatch: pytest.MonkeyPatch) -> list[str]:
    """Returns the rows that a case writes."""
    world = RowRecorder()
    for case in CASES:
        if case.__name__ == name:
            case(world)
    for target_case in TARGET_CASES:
        if target_case.__name__ == name:
            target_case(world, monkeypatch)
    return world.lines


def read_tables(lines: list[str], backwards: bool = False) -> Tables:
    """Returns the tables of a controller that reads these rows, in their order or in reverse."""
    tables = Tables()
    rows = [(*parse_line(line), BASE_REVISION + position) for position, line in enumerate(lines, 1)]
    for key, value, revision in reversed(rows) if backwards else rows:
        tables.apply(key, value, revision)
    return tables


def tables_after_deletion(lines: list[str]) -> Tables:
    """Returns the tables after these rows are read and then deleted, in their order."""
    tables = read_tables(lines)
    for position, line in enumerate(lines, 1):
        tables.apply(parse_line(line)[0], None, BASE_REVISION + len(lines) + position)
    return tables


def test_every_frozen_row_has_its_case() -> None:
    assert [*WRITTEN] == [case.__name__ for case in (*CASES, *TARGET_CASES)]
    assert READ.keys() == STATE.keys() == AFTER_DROP.keys()


@pytest.mark.parametrize("name", WRITTEN)
def test_a_row_is_written_as_frozen(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    assert written_rows(name, monkeypatch) == WRITTEN[name]


@pytest.mark.parametrize("name", READ)
def test_a_row_is_read_as_frozen(name: str) -> None:
    assert json.loads(dump(read_tables(READ[name]))) == json.loads(STATE[name])
    row_keys = [parse_line(line)[0] for line in READ[name]]
    if len(set(row_keys)) == len(row_keys):  # A full read returns each key once, in any order.
        assert json.loads(dump(read_tables(READ[name], backwards=True))) == json.loads(STATE[name])


@pytest.mark.parametrize("name", READ)
def test_deleting_rows_leaves_the_frozen_state(name: str) -> None:
    assert json.loads(dump(tables_after_deletion(READ[name]))) == json.loads(AFTER_DROP[name])
