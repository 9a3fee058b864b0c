"""Old and new versions side by side: what production wrote is read, what is written before the mark production
reads, and the mark waits for every configured controller. Also the state service's limits, which fall."""

from __future__ import annotations

import random
from typing import Any

import anyio
import anyio.lowlevel
import pytest

from sloeswitch import mesh, wire
from sloeswitch.actors.autoscaler import Autoscaler
from sloeswitch.actors.jobs import ClaimRequest, TaskUpdates
from sloeswitch.actors.machines import Machines
from sloeswitch.core import keys, taskset
from sloeswitch.core.records import JobState, MemberRow, Progress
from sloeswitch.settings import SettingsError, parse
from sloeswitch.state_client import StateClient
from tests.conftest import SETTINGS, Store, report, spec, submission
from tests.test_actors import World, machine_up
from tests.test_pipelines import ask, submit

JOB = "wk-000001"
NEXT = "[deployment.state.next]\nvalue_kb = 2.0\ntxn_ops = 4\nwrite_rps = 15.0\n"
NARROW = SETTINGS.replace("[deployment.cloud]", NEXT + "[deployment.cloud]")

# Rows as production writes them.
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


class Production:
    """Reads rows as production does, knowing its fields only, and fails on a form that it cannot read."""

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
            claims = {tag: self.runs(runs) for tag, runs in value["c"].items()}
            return kind, name, self.runs(value["d"]), claims, value.get("z"), value.get("a", 0)
        if kind == "g":
            return kind, name, {vm: (address, of, zone, spot) for vm, (address, of, zone, spot) in value["m"].items()}
        if kind == "m":
            assert value.get("layout", 1) >= 2
            return kind, name, value["boot"], value["settled"]
        if kind == "q":
            return kind, name, {tag: (cores, gpus) for tag, (cores, gpus) in value.items()}
        assert kind == "layout"  # skipped: no kind that production knows
        return None

    @staticmethod
    def runs(runs: list[int]) -> int:
        assert all(isinstance(number, int) for number in runs)
        return sum(((1 << length) - 1) << start for start, length in zip(runs[::2], runs[1::2], strict=True))


def watched(world: World) -> dict[str, Any]:
    """All rows written from now on, which must be within the lesser of both limits."""
    written: dict[str, Any] = {}
    put = world.store.put

    def see(key: str, value: Any) -> int:
        if value is not None:
            assert len(wire.encode(value)) <= world.settings.value_kb * 1024
            written[key] = value
        return put(key, value)

    world.store.put = see  # type: ignore[method-assign]
    return written


# -- side by side


def test_rows_of_production_are_read(store: Store) -> None:
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


def test_frames_between_the_versions_are_those_of_production() -> None:
    assert mesh.pack_ask(7) == b"sloe\x01\x01\x00\x08" + b"\x00" * 7 + b"\x07"
    assert mesh.pack_tell(258, True) == b"sloe\x01\x02\x00\x09" + b"\x00" * 6 + b"\x01\x02\x01"


def test_what_is_written_before_the_mark_production_reads_as_it_is_meant(store: Store) -> None:
    """A day of one controller: machines, a job accepted, claimed, half done, done; another one cancelled."""
    world = World(store, NARROW)
    written = watched(world)
    heartbeat_and_register(world, 40)
    assert anyio.run(world.membership._write_member)
    world.leadership.mesh = None
    anyio.run(world.membership._record_layout)
    assert submit(world, JOB, visits=400, cores=0.1, memoryGb=0.0, builds=["small"], dueS=90.0) == 201
    assert submit(world, "wk-000002") == 201
    world.round(ClaimRequest(task_counts={JOB: 400, "wk-000002": 4}, quota_increases={"red": (8.0, 0.0)}))
    scattered = sum(1 << index for index in range(0, 120, 3))
    world.tell_jobs(TaskUpdates(done={JOB: scattered}))
    world.clock.time += 20.0
    world.leadership.lease_renewed_at = world.replica.linearizable_at = world.clock.time
    world.round()
    assert store.tables.jobs[JOB].progress.done == scattered
    assert anyio.run(world.jobs.cancel, "wk-000002") == wire.CANCELLED
    assert submit(world, "wk-000003") == 201 and anyio.run(world.jobs.cancel, "wk-000003") == wire.CANCELLED
    read = [Production().read(key, value) for key, value in written.items()]
    assert ("j", "wk-000002", JobState.CANCELLED) in [row[:3] for row in read if row]
    assert ("j", "wk-000003", JobState.CANCELLED, 4) in read
    progress = store.tables.jobs[JOB].progress
    assert ("r", JOB, progress.done, progress.claims, None, 0) in read
    assert {vm for row in read if row and row[0] == "g" for vm in row[2]} == store.tables.machines.keys()
    world.tell_jobs(TaskUpdates(done={JOB: taskset.full(400)}))
    world.clock.time += 1.0
    world.round()
    assert Production().read(keys.job_key(JOB), written[keys.job_key(JOB)]) == ("j", JOB, JobState.DONE, 400)


def heartbeat_and_register(world: World, count: int) -> None:
    for number in range(count):
        name = f"vm-{number:06d}"
        world.heartbeat(report(1, 0, name=name))
        world.heartbeat(report(2, 3, name=name))

    async def register(machines: Machines) -> None:
        while len(world.store.tables.machines) < count:
            async with anyio.create_task_group() as group:
                machines.group = group
                machines._register()

    world.machines.registration.pace_s = 0.0
    anyio.run(register, world.machines)


def test_nothing_new_is_accepted_or_written_before_the_mark(store: Store) -> None:
    world = World(store, NARROW)
    store.job(spec())
    answer = ask(world, "POST", "/submissions", submission("wk-000002", awaits=[JOB]))
    assert answer.status == 503 and dict(answer.headers)["Retry-After"]
    assert submit(world, "wk-000002") == 201  # empty is as absent
    assert submit(world, "wk-000002", JOB) == 200  # known already
    assert submit(world, "wk-000003", kit="x" * 3000) == 503  # in parts only
    store.upgraded()
    assert submit(world, "wk-000003", kit="x" * 3000) == 201
    assert submit(world, "wk-000004", JOB) == 201


def mark(world: World) -> bool:
    anyio.run(world.membership._record_layout)
    return world.store.tables.layout_complete


def test_the_mark_waits_for_a_controller_that_is_down_and_for_one_that_comes_back_old(store: Store) -> None:
    world = World(store)  # c0, and a sibling c1 that is down
    assert not mark(world) and store.tables.layout_members == ("c0",)
    store.put(keys.member_key("c1"), {"boot": 5, "settled": 0, "layout": 2})
    assert not mark(world)
    # Its turn comes; its former run's row is still there when it is first seen.
    store.put(keys.LAYOUT_KEY, {"seen": ["c0", "c1"], "complete": False})
    assert not mark(world)
    store.member("c1", 6)
    assert mark(world)
    # No later restart takes it back.
    store.put(keys.member_key("c1"), None)
    store.member("c0", 9)
    assert store.tables.layout_complete


def test_the_mark_is_written_by_members_of_the_view_only(store: Store) -> None:
    world = World(store)
    conditions = world.leadership.view_conditions()
    store.view(4, ("c1", 2))
    world.leadership.view_conditions = lambda: conditions  # type: ignore[method-assign]
    assert not mark(world) and store.tables.layout_members == ()


def test_a_late_write_of_an_old_controller_does_not_undo_what_was_decided_since(store: Store) -> None:
    world = World(store)
    store.put("s1/j/wk-000001", OLD_ROWS["s1/j/wk-000001"])
    stamp = store.tables.jobs[JOB].mod_revision
    store.upgraded()
    assert submit(world, "wk-000002", JOB) == 201
    old = {"s1/j/wk-000001": stamp, "s1/r/wk-000001": 0}
    claim = {"s1/r/wk-000001": {"d": [], "c": {"c1.5": [0, 4]}}}
    assert anyio.run(world.jobs.cancel, JOB) == wire.CANCELLED
    world.client.apply(old, claim, [])
    assert JOB in store.tables.finished_jobs and store.tables.jobs["wk-000002"].is_cancelled


# -- the lesser limits


def test_the_lesser_of_the_limits_now_and_next_holds_from_the_start() -> None:
    settings = parse(NARROW)
    assert (settings.value_kb, settings.txn_ops, settings.state_write_rps, settings.state_rps) == (2.0, 4, 15.0, 100.0)
    larger = NARROW.replace("txn_ops = 4", "txn_ops = 400").replace("write_rps = 15.0\n", "")
    assert (parse(larger).txn_ops, parse(larger).state_write_rps) == (12, 20.0)
    for wrong, name in (("txn_ops = 1", "txn_ops"), ('value_kb = "2"', "value_kb"), ("write_rps = -1", "write_rps")):
        faulty = SETTINGS.replace("[deployment.cloud]", f"[deployment.state.next]\n{wrong}\n[deployment.cloud]")
        with pytest.raises(SettingsError) as raised:
            parse(faulty)
        assert [fault.split(":")[0] for fault in raised.value.faults] == [f"deployment.state.next.{name}"]
    with pytest.raises(SettingsError):
        parse(SETTINGS.replace("txn_ops = 12", "txn_ops = 12\nnext = 7"))


def test_sets_of_tasks_survive_storing_as_text_and_scattered_ones_are_small() -> None:
    shuffle = random.Random(7)
    for count in (1, 40, 600, 4000):
        for share in (0.02, 0.5, 0.98):
            mask = sum(1 << index for index in range(count) if shuffle.random() < share)
            assert taskset.unpack(taskset.pack_dense(mask)) == mask == taskset.unpack(taskset.pack(mask))
    # The largest array of the sites, half done in any order and claimed by three.
    done = sum(1 << index for index in range(600) if shuffle.random() < 0.5)
    masks = [sum(1 << index for index in range(600) if not done >> index & 1 and index % 3 == n) for n in range(3)]
    progress = Progress(done, {f"worker-{n}.{123456 + n}": mask for n, mask in enumerate(masks)})
    assert len(wire.encode(progress.stored())) > 2048 > len(wire.encode(progress.stored(dense=True)))
    assert Progress.from_stored(progress.stored(dense=True)) == progress
    assert taskset.pack_dense(taskset.full(100_000)) == [0, 100_000]


def test_a_scattered_job_goes_on_within_the_lesser_limits(store: Store) -> None:
    """Every round keeps within two kilobytes and four changes (the scripted state service insists)."""
    store.upgraded()
    world = World(store, NARROW)
    names = [f"wk-{number:06d}" for number in range(8)]
    shuffle = random.Random(11)
    for name in names:
        store.job(spec(name, visits=600, cores=0.01))
        store.progress(name, c0_1=taskset.full(600))
    left = dict.fromkeys(names, taskset.full(600))
    for _ in range(60):
        for name in names:
            ended = sum(1 << index for index in range(600) if shuffle.random() < 0.1) & left[name]
            left[name] &= ~ended
            world.tell_jobs(TaskUpdates(done={name: ended}))
        world.clock.time += 20.0
        for _ in range(4):
            world.round()
        assert all(store.tables.jobs[n].progress.done == taskset.full(600) & ~left[n] for n in store.tables.jobs)
        if not any(left.values()):
            break
    world.tell_jobs(TaskUpdates(done=left | dict.fromkeys(names, taskset.full(600))))
    world.clock.time += 20.0
    for _ in range(4):
        world.round()
    assert set(names) == store.tables.finished_jobs.keys()


def unregister(world: World, *names: str) -> None:
    async def run() -> None:
        world.machines.registration.pending_removals |= set(names)
        turns = 0
        with anyio.CancelScope() as scope:

            async def pause(seconds: float) -> None:
                nonlocal turns
                turns += 1
                if turns > 12:
                    scope.cancel()
                await anyio.lowlevel.checkpoint()

            world.machines.registration.sleep = pause
            await world.machines.registration.unregister_forever()

    anyio.run(run)


def large_group(count: int) -> dict[str, Any]:
    return {"m": {f"vm-{n:06d}": [f"10.1.{n // 250}.{n % 250}:9000", "small", "a", True] for n in range(count)}}


def test_a_group_of_production_too_large_by_now_is_parted_when_it_changes_and_loses_no_machine(store: Store) -> None:
    world = World(store, NARROW)
    store.put(keys.group_key("c1.5.1"), large_group(240))
    everything = set(store.tables.machines)
    unregister(world, "vm-000007")
    # While an old controller is about, machines stay where they are: it would take them for deleted.
    assert set(store.tables.machines) == everything
    store.upgraded()
    written = watched(world)
    missing: list[str] = []
    apply = world.client.apply

    def crash_after(*transaction: Any) -> Any:
        outcome = apply(*transaction)
        # Whoever reads all again, by key, finds every machine.
        again = Store()
        for key, value in sorted({keys.group_key("c1.5.1"): large_group(240), **written}.items()):
            again.put(key, value)
        missing.extend(everything - {"vm-000007"} - again.tables.machines.keys())
        return outcome

    world.client.apply = crash_after  # type: ignore[method-assign, assignment]
    unregister(world, "vm-000007")
    assert not missing
    assert set(store.tables.machines) == everything - {"vm-000007"} and "vm-000007" in store.tables.deleted_machines
    assert len(store.tables.machine_groups) > 4


def test_a_catalog_larger_than_a_value_is_stored_type_by_type(store: Store) -> None:
    world = World(store, NARROW)
    cloud: Any = None
    fleet = Autoscaler(world.settings, world.client, cloud, world.replica, world.leadership, world.clock)
    kinds = [
        wire.MachineType(f"type-{n}", 8.0, 0.0, 16.0, 50.0, 0.5, 0.4, 0.1, 25.0, ["a", "b"] * 20) for n in range(9)
    ]
    anyio.run(fleet._store_catalog, kinds)
    assert store.tables.machine_types.keys() == {"small"}  # an earlier layout would not find them
    store.upgraded()
    anyio.run(fleet._store_catalog, kinds)
    assert store.tables.machine_types == {kind.name: kind for kind in kinds}
    anyio.run(fleet._store_catalog, kinds[:2])
    assert store.tables.machine_types == {kind.name: kind for kind in kinds[:2]}


def test_a_machine_in_two_groups_is_held_by_the_same_one_whatever_the_order_of_reading() -> None:
    row = {"vm-1": ["127.0.0.1:9000", "small", "a", True]}
    for order in (("a.1", "b.1"), ("b.1", "a.1")):
        store = Store()
        for group in order:
            store.put(keys.group_key(group), {"m": row})
        assert store.tables.machines["vm-1"].key == keys.group_key("b.1")
        store.put(keys.group_key("a.1"), None)
        assert "vm-1" in store.tables.machines
        store.put(keys.group_key("b.1"), None)
        assert "vm-1" in store.tables.deleted_machines


@pytest.mark.parametrize(("changes", "size"), [(2, 2048), (4, 300)])
def test_limits_that_fall_below_what_was_announced_are_kept_to(store: Store, changes: int, size: int) -> None:
    """A take-over, machines and a burst of jobs while the limits fall: nothing is refused for ever."""
    store.upgraded()
    world = World(store, NARROW)
    for number in range(1, 7):
        store.job(spec(f"wk-00000{number}", visits=1))
        store.progress(f"wk-00000{number}", c1_9=1)
    world.client.most_changes_now, world.client.most_bytes_now = changes, size
    heartbeat_and_register(world, 12)
    world.tell_jobs(TaskUpdates(adopted={f"wk-00000{number}": 1 for number in range(1, 7)}, view_number=3))
    for _ in range(12):
        world.round()
    assert all(job.progress.claims == {"c0.1": 1} for job in store.tables.jobs.values())
    accepted = [submit(world, "wk-000009", kit="x" * 200) for _ in range(6)]
    assert accepted[-1] == 200 and 201 in accepted
    world.tell_jobs(TaskUpdates(done={f"wk-00000{number}": 1 for number in range(1, 7)}))
    world.clock.time += 1.0
    for _ in range(6):
        world.round()
    assert len(store.tables.finished_jobs) == 6


def test_a_refusal_for_the_rate_is_told_from_one_for_size(store: Store) -> None:
    world = World(store, NARROW)
    client = StateClient(world.settings, lambda: 1, world.clock.now)
    answers = [wire.encode({"error": "too many"}), wire.encode({"error": "too large"})]

    class Reply:
        def __init__(self, status: int, body: bytes) -> None:
            self.status, self.body = status, body

    async def call(*_: Any, **__: Any) -> Any:
        return Reply(429 if len(answers) == 2 else 400, answers.pop(0))

    client.call = call  # type: ignore[method-assign]

    async def commit() -> None:
        await client.compare_and_swap({}, {"s1/x": 1, "s1/y": 2, "s1/z": 3}, [], t_urgency())

    anyio.run(commit)
    assert client.write_tokens.tokens <= 0.0 and client.txn_ops == 4
    world.clock.time += 10.0
    anyio.run(commit)
    assert client.txn_ops == 2


def t_urgency() -> Any:
    from sloeswitch.rate_budget import RequestPriority

    return RequestPriority.LEASE


def test_a_few_changes_a_transaction_hold_teams_and_claims(store: Store) -> None:
    """Failure found by reasoning: the allowances of five teams alone were more than four changes."""
    more = "".join(
        f'[[deployment.teams]]\nname = "t{n}"\ncpus = 4.0\ncpus_max = 9.0\ngpus = 0.0\ngpus_max = 0.0\n'
        for n in range(5)
    )
    world = World(store, NARROW.replace("[deployment.workers]", more + "[deployment.workers]"))
    machine_up(world)
    for number in range(5):
        store.job(spec(f"wk-00000{number}", crew=f"t{number}", visits=1, cores=1.0))
    for _ in range(8):
        world.machines._rebuild_queue()
        for request in world.claim_requests():
            world.round(request)
    assert all(job.progress.claims == {"c0.1": 1} for job in store.tables.jobs.values())
