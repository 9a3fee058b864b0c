"""The admission gate: which jobs it keeps out of the queue."""

from __future__ import annotations

from sloeswitch.admission.decisions import decide
from sloeswitch.admission.gate import AdmissionGate
from sloeswitch.core import job_queue, keys
from sloeswitch.core.records import Job, JobState
from tests.conftest import Store, spec
from tests.support.admission import RecordingLog
from tests.support.admission_cluster import Cluster
from tests.support.single_controller import World


def new_gate(cluster: Cluster, lines: list[str], enabled: list[bool]) -> AdmissionGate:
    return AdmissionGate(cluster.store.tables, RecordingLog(lines), lambda: enabled[0])


def queued_jobs(cluster: Cluster) -> list[str]:
    return sorted(
        {job.spec.id for job in job_queue.queue_order(cluster.store.tables, cluster.settings, cluster.now_ms)}
    )


def test_deferred_jobs_stay_out_of_the_queue_and_switching_off_and_on_loses_none() -> None:
    cluster = Cluster()
    names = cluster.overload(3)
    lines: list[str] = []
    enabled = [True]
    gate = new_gate(cluster, lines, enabled)
    gate.apply()
    assert queued_jobs(cluster) == ["wk-000000"]
    rows = cluster.store.tables.admission_rows
    enabled[0] = False
    gate.apply()
    assert queued_jobs(cluster) == ["wk-000000", *names]
    cluster.store.progress(names[1], c0_1=1)
    enabled[0] = True
    gate.apply()
    # A job that began while admission was off stays admitted; the stored cuts are unchanged.
    assert queued_jobs(cluster) == ["wk-000000", names[1]] and cluster.store.tables.admission_rows is rows
    cluster.advance_time(cluster.limits.starvation_timeout_s)
    cluster.epoch()
    gate.apply()
    assert queued_jobs(cluster) == ["wk-000000", names[0], names[1]]


def test_a_prerequisite_stays_admitted_through_later_epochs() -> None:
    cluster = Cluster({"red": (0.0, 400.0), "blue": (300.0, 400.0)})
    cluster.overload(5)
    lines: list[str] = []
    gate = new_gate(cluster, lines, [True])
    cluster.submit("wk-990001", urgency="best_effort", crew="blue", visits=299)
    gate.apply()
    cluster.submit("wk-990000", urgency="best_effort", roster="other", crew="blue", visits=290)
    cluster.submit("wk-990002", urgency="urgent", crew="blue", awaits=["wk-990001"], visits=2)
    cluster.epoch()
    for _ in range(3):
        gate.apply()
        assert not cluster.store.tables.jobs["wk-990001"].deferred
        cluster.advance_time(cluster.limits.starvation_timeout_s)
        cluster.epoch()
    # The prerequisite is still admitted for its dependent.
    decision = decide(cluster.store.tables)["wk-990001"]
    assert decision.admitted


def test_jobs_are_decided_again_after_the_tables_are_reloaded() -> None:
    cluster = Cluster()
    cluster.overload(2)
    gate = new_gate(cluster, [], [True])
    gate.apply()
    cluster.advance_time(cluster.limits.starvation_timeout_s)
    cluster.epoch()
    gate.apply()
    assert queued_jobs(cluster) == ["wk-000000", "wk-000001"]
    cluster.store.tables.clear()
    for key, (value, stamp) in cluster.store.rows.items():
        cluster.store.tables.apply(key, value, stamp)
    # The cuts are the same, but the tables hold new job objects.
    gate.apply()
    assert queued_jobs(cluster) == ["wk-000000", "wk-000001"]


def test_finished_jobs_are_dropped_from_the_cache() -> None:
    cluster = Cluster()
    names = cluster.overload(50)
    gate = new_gate(cluster, [], [True])
    gate.apply()
    assert sum(map(len, gate._deferred.values())) == 50
    for name in names[:40]:
        cluster.store.put(keys.job_key(name), {"s": JobState.CANCELLED, "n": 1, "t": cluster.now_ms})
    gate.apply()
    assert len(gate._decided) == len(cluster.store.tables.jobs) == 11
    assert sum(map(len, gate._deferred.values())) == 10


def test_jobs_that_may_move_to_another_cell_are_the_queued_ones_followed_by_the_deferred_ones(store: Store) -> None:
    world = World(store)
    store.job(spec("wk-000001"))
    store.job(spec("wk-000002"))
    store.tables.jobs["wk-000001"].deferred = True
    world.machines.queue.rebuild()

    def names(jobs: list[Job]) -> list[str]:
        # A job that has waited for long is in the queue twice.
        return list(dict.fromkeys(job.spec.id for job in jobs))

    assert names(world.machines.queue.jobs) == ["wk-000002"]
    assert names(world.machines.queue.waiting_jobs()) == ["wk-000002"], "no gate, no deferred jobs"
    world.machines.queue.admission = AdmissionGate(store.tables, RecordingLog([]), lambda: True)
    assert names(world.machines.queue.waiting_jobs()) == ["wk-000002", "wk-000001"]
