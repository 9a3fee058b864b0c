"""Compatibility with the earlier version of the controller while both versions run.

Rows of the earlier version are read, rows written before the layout is complete are readable by the earlier version,
and the layout is complete only after every configured controller has run with it. Sets of tasks also have to fit the
reduced value limit of the state service.
"""

from __future__ import annotations

import random
from typing import Any

import anyio
import anyio.lowlevel

from sloeswitch import mesh_frames, wire
from sloeswitch.actors.job_messages import ClaimRequest
from sloeswitch.core import keys, taskset
from sloeswitch.core.quota import ResourceAmount
from sloeswitch.core.records import JobState, MemberRow, Progress
from sloeswitch.core.row_codec import decode_progress, encode_progress
from sloeswitch.core.uncommitted_updates import TaskUpdates
from tests.conftest import Store, spec, submission
from tests.support.single_controller import (
    JOB,
    SETTINGS_WITH_NEXT_LIMITS,
    World,
    ask,
    heartbeat_and_register,
    record_writes,
    submit,
)

# Rows as the earlier version writes them.
OLD_SPEC = {
    "id": "wk-000001",
    "roster": "train",
    "crew": "red",
    "shape": "sweep",
    "urgency": "standard",
    "visits": 4,
    "cores": 2.0,
    "accelerators": 0.0,
    "memoryGb": 1.0,
    "kit": "img-1",
    "pullGb": 1.0,
    "together": False,
    "spread": False,
    "loaners": True,
    "expectedS": 40.0,
    "snapshotS": 0.0,
    "stashS": 0.0,
    "builds": None,
    "district": None,
    "dueS": None,
}

OLD_ROWS: dict[str, Any] = {
    "s1/m/c1": {"boot": 5, "settled": 3, "layout": 2},
    "s1/coord": {"member": "c1", "boot": 5},
    "s1/view": {"n": 3, "members": [["c0", 1], ["c1", 5]]},
    "s1/j/wk-000001": {"s": "live", "n": 4, "t": 1000, "spec": OLD_SPEC},
    "s1/r/wk-000001": {"d": [0, 2], "c": {"c1.5": [2, 1]}, "z": "a", "a": 3},
    "s1/j/wk-000002": {"s": "withdrawn", "n": 4, "t": 1000, "spec": {**OLD_SPEC, "id": "wk-000002"}},
    "s1/j/wk-000003": {"s": "done", "n": 7},
    "s1/q/red": {"c1.5": [8.0, 0.0]},
    "s1/g/c1.5.1": {"m": {"vm-1": ["127.0.0.1:9000", "small", "a", True]}},
    "s1/h/vm-2": {"a": "127.0.0.1:9001", "t": "small", "z": "b", "s": False},
}


class EarlierVersion:
    """Reads rows as the earlier version does, which knows only its own fields; fails on a row that it cannot read."""

    def read(self, key: str, value: Any) -> Any:
        kind, _, name = key.removeprefix("s1/").partition("/")
        if kind == "j" and "spec" not in value:
            return kind, name, value["s"], value["n"]
        if kind == "j":
            spec = value["spec"]
            needed = {field for field in OLD_SPEC if field not in ("builds", "district", "dueS")}
            assert needed <= spec.keys() and not spec.get("awaits")
            return kind, name, value["s"], value["t"], {field: spec.get(field) for field in OLD_SPEC}
        if kind == "r":
            claims = {incarnation: self.decode_runs(runs) for incarnation, runs in value["c"].items()}
            return kind, name, self.decode_runs(value["d"]), claims, value.get("z"), value.get("a", 0)
        if kind == "g":
            return (
                kind,
                name,
                {
                    vm: (address, machine_type, zone, spot)
                    for vm, (address, machine_type, zone, spot) in value["m"].items()
                },
            )
        if kind == "m":
            assert value.get("layout", 1) >= 2
            return kind, name, value["boot"], value["settled"]
        if kind == "q":
            return kind, name, {incarnation: (cores, gpus) for incarnation, (cores, gpus) in value.items()}
        assert kind == "layout"  # The earlier version ignores rows of unknown kinds.
        return None

    @staticmethod
    def decode_runs(runs: list[int]) -> int:
        assert all(isinstance(number, int) for number in runs)
        return sum(((1 << length) - 1) << start for start, length in zip(runs[::2], runs[1::2], strict=True))


def test_rows_of_the_earlier_version_are_read(store: Store) -> None:
    for key, value in OLD_ROWS.items():
        store.put(key, value)
    tables = store.tables
    job = tables.jobs["wk-000001"]
    assert (job.status, job.submitted_ms, job.ready_ms, job.spec.tasks, job.spec.prerequisites) == (
        JobState.LIVE,
        1000,
        1000,
        4,
        (),
    )
    assert job.progress == Progress(0b11, {"c1.5": 0b100}, "a", 3) and job.is_runnable
    assert tables.jobs["wk-000002"].is_cancelled and tables.finished_jobs["wk-000003"][:3] == (JobState.DONE, 7, 0)
    assert tables.machines["vm-1"].key == "s1/g/c1.5.1" and not tables.machines["vm-2"].spot
    assert tables.members["c1"] == MemberRow(5, 3, 2) and tables.coordinator == ("c1", 5)
    assert tables.quota_allocations["red"] == {"c1.5": (8.0, 0.0)} and not tables.layout_complete


def test_frames_to_the_earlier_version_have_its_form() -> None:
    assert mesh_frames.pack_view_request(7) == b"sloe\x01\x01\x00\x08" + b"\x00" * 7 + b"\x07"
    assert mesh_frames.pack_view(258, True) == b"sloe\x01\x02\x00\x09" + b"\x00" * 6 + b"\x01\x02\x01"


def test_the_earlier_version_reads_rows_written_before_the_layout_is_complete(store: Store) -> None:
    """One controller registers machines, accepts, claims and completes a job, and cancels two others."""
    world = World(store, SETTINGS_WITH_NEXT_LIMITS)
    written = record_writes(world)
    heartbeat_and_register(world, 40)
    assert anyio.run(world.membership._write_member)
    world.leadership.mesh = None
    anyio.run(world.membership._record_layout)
    assert submit(world, JOB, visits=400, cores=0.1, memoryGb=0.0, builds=["small"], dueS=90.0) == 201
    assert submit(world, "wk-000002") == 201
    world.commit_and_place(
        ClaimRequest(task_counts={JOB: 400, "wk-000002": 4}, quota_increases={"red": ResourceAmount(8.0, 0.0)})
    )
    scattered = sum(1 << index for index in range(0, 120, 3))
    world.send_task_updates(TaskUpdates(done={JOB: scattered}))
    world.clock.time += 20.0
    world.leadership.lease_renewed_at = world.replica.linearizable_at = world.clock.time
    world.commit_and_place()
    assert store.tables.jobs[JOB].progress.done == scattered
    assert anyio.run(world.jobs.cancel, "wk-000002") == wire.JobStatus.CANCELLED
    assert submit(world, "wk-000003") == 201 and anyio.run(world.jobs.cancel, "wk-000003") == wire.JobStatus.CANCELLED
    read = [EarlierVersion().read(key, value) for key, value in written.items()]
    assert ("j", "wk-000002", JobState.CANCELLED) in [row[:3] for row in read if row]
    assert ("j", "wk-000003", JobState.CANCELLED, 4) in read
    progress = store.tables.jobs[JOB].progress
    assert ("r", JOB, progress.done, progress.claims, None, 0) in read
    assert {vm for row in read if row and row[0] == "g" for vm in row[2]} == store.tables.machines.keys()
    world.send_task_updates(TaskUpdates(done={JOB: taskset.full(400)}))
    world.clock.time += 1.0
    world.commit_and_place()
    assert EarlierVersion().read(keys.job_key(JOB), written[keys.job_key(JOB)]) == ("j", JOB, JobState.DONE, 400)


def test_new_kinds_of_jobs_and_rows_are_rejected_before_the_layout_is_complete(store: Store) -> None:
    world = World(store, SETTINGS_WITH_NEXT_LIMITS)
    store.job(spec())
    answer = ask(world, "POST", "/submissions", submission("wk-000002", awaits=[JOB]))
    assert answer.status == 503 and dict(answer.headers)["Retry-After"]
    assert submit(world, "wk-000002") == 201  # An empty list is accepted like an absent one.
    assert submit(world, "wk-000002", JOB) == 200  # Already accepted.
    assert submit(world, "wk-000003", kit="x" * 3000) == 503  # Would have to be stored in chunks.
    store.put_complete_layout()
    assert submit(world, "wk-000003", kit="x" * 3000) == 201
    assert submit(world, "wk-000004", JOB) == 201


def record_layout(world: World) -> bool:
    anyio.run(world.membership._record_layout)
    return world.store.tables.layout_complete


def test_the_layout_waits_for_controllers_that_are_down_or_restart_with_the_earlier_version(store: Store) -> None:
    world = World(store)  # c0, and a sibling c1 that is down
    assert not record_layout(world) and store.tables.layout_members == ("c0",)
    store.put(keys.member_key("c1"), {"boot": 5, "settled": 0, "layout": 2})
    assert not record_layout(world)
    # c1 has been upgraded and recorded, but the member row of its earlier incarnation still exists.
    store.put(keys.LAYOUT_KEY, {"seen": ["c0", "c1"], "complete": False})
    assert not record_layout(world)
    store.member("c1", 6)
    assert record_layout(world)
    # Later restarts do not undo it.
    store.put(keys.member_key("c1"), None)
    store.member("c0", 9)
    assert store.tables.layout_complete


def test_only_members_of_the_view_record_the_layout(store: Store) -> None:
    world = World(store)
    conditions = world.leadership.view_conditions()
    store.view(4, ("c1", 2))
    world.leadership.view_conditions = lambda: conditions  # type: ignore[method-assign]
    assert not record_layout(world) and store.tables.layout_members == ()


def test_a_late_write_of_the_earlier_version_does_not_undo_a_later_cancellation(store: Store) -> None:
    world = World(store)
    store.put("s1/j/wk-000001", OLD_ROWS["s1/j/wk-000001"])
    job_revision = store.tables.jobs[JOB].mod_revision
    store.put_complete_layout()
    assert submit(world, "wk-000002", JOB) == 201
    conditions = {"s1/j/wk-000001": job_revision, "s1/r/wk-000001": 0}
    claim = {"s1/r/wk-000001": {"d": [], "c": {"c1.5": [0, 4]}}}
    assert anyio.run(world.jobs.cancel, JOB) == wire.JobStatus.CANCELLED
    world.client.apply(conditions, claim, [])
    assert JOB in store.tables.finished_jobs and store.tables.jobs["wk-000002"].is_cancelled


def test_sets_of_tasks_survive_both_encodings_and_the_dense_one_is_small() -> None:
    generator = random.Random(7)
    for count in (1, 40, 600, 4000):
        for share in (0.02, 0.5, 0.98):
            mask = sum(1 << index for index in range(count) if generator.random() < share)
            assert taskset.unpack(taskset.pack_dense(mask)) == mask == taskset.unpack(taskset.pack(mask))
    # 600 tasks is the largest job expected; half are done in random order, and three controllers claim the rest.
    done = sum(1 << index for index in range(600) if generator.random() < 0.5)
    masks = [sum(1 << index for index in range(600) if not done >> index & 1 and index % 3 == n) for n in range(3)]
    progress = Progress(done, {f"worker-{n}.{123456 + n}": mask for n, mask in enumerate(masks)})
    assert len(wire.encode(encode_progress(progress))) > 2048 > len(wire.encode(encode_progress(progress, dense=True)))
    assert decode_progress(encode_progress(progress, dense=True)) == progress
    assert taskset.pack_dense(taskset.full(100_000)) == [0, 100_000]


def test_a_machine_in_two_groups_belongs_to_the_same_group_in_any_order_of_reading() -> None:
    row = {"vm-1": ["127.0.0.1:9000", "small", "a", True]}
    for order in (("a.1", "b.1"), ("b.1", "a.1")):
        store = Store()
        for group in order:
            store.put(keys.machine_group_key(group), {"m": row})
        assert store.tables.machines["vm-1"].key == keys.machine_group_key("b.1")
        store.put(keys.machine_group_key("a.1"), None)
        assert "vm-1" in store.tables.machines
        store.put(keys.machine_group_key("b.1"), None)
        assert "vm-1" in store.tables.deleted_machines
