"""The selection of jobs to move, and the summaries that it uses."""

from __future__ import annotations

import pytest

from sloeswitch.cells.selection import Candidate, Move, MoveLimits, choose_moves, find_candidates, move_limits
from sloeswitch.cells.summary import MachinePool, Resources, Summary, SummaryCache, summarise
from sloeswitch.core import job_queue, keys
from sloeswitch.core.records import Job, JobState
from sloeswitch.core.row_codec import encode_job
from sloeswitch.settings import Settings, parse
from tests.conftest import MACHINE_TYPE, SETTINGS, Store, spec

LIMITS = MoveLimits(margin_s=10.0, transfer_s=5.0, max_in_flight=2)
POOL = MachinePool("small", True, Resources(8.0, 0.0, 16.0), 0.5, 10)
TEAM_FREE_CAPACITY = (("red", 80.0, 0.0),)


def peer(cell: str = "south", cores: float = 80.0, backlog_s: float = 0.0) -> Summary:
    free = Resources(cores, 0.0, 2 * cores)
    return Summary(cell, 1, 10, (POOL,), free, backlog_s, TEAM_FREE_CAPACITY)


def late_job(
    name: str = "wk-000001", until_target_s: float = 100.0, local_completion_s: float = 200.0, **changes: object
) -> Candidate:
    """Four tasks of two cores and 40 s, with an image that takes 2 s to fetch; done in another cell within 47 s."""
    return Candidate(spec(name, **changes), until_target_s, local_completion_s)


def test_a_job_that_is_late_here_and_in_time_there_moves() -> None:
    assert choose_moves([late_job()], [peer()], {}, LIMITS) == [Move("wk-000001", "south")]


@pytest.mark.parametrize(
    ("candidate", "summary"),
    [
        (late_job(local_completion_s=109.0), peer()),  # late here by less than the margin
        (late_job(until_target_s=56.0), peer()),  # in time there by less than the margin
        (late_job(), peer(backlog_s=1.0)),  # saturated
        (late_job(), peer(cores=1.0)),  # no free capacity
        (late_job(kit="img-9", pullGb=30.0), peer()),  # fetching the image takes a minute
        (late_job(district="a"), peer()),  # bound to a zone
        (late_job(crew="blue"), peer()),  # a team that the peer does not know
        (late_job(loaners=False), peer()),  # the peer has spot machines only
        (late_job(builds=["large"]), peer()),  # the peer has no machine of that type
        (late_job(shape="group", visits=40), peer(cores=78.0)),  # all tasks of a gang must start together
        (Candidate(spec(), None, 200.0), peer()),  # no target that can still be met
    ],
)
def test_a_job_is_not_moved(candidate: Candidate, summary: Summary) -> None:
    assert choose_moves([candidate], [summary], {}, LIMITS) == []


def test_capacity_is_used_once_and_the_cell_that_completes_first_is_chosen() -> None:
    """Each job uses eight cores. The east has four, so that a job would run there in two rounds."""
    jobs = [late_job(f"wk-00000{number}", until_target_s=150.0, local_completion_s=300.0) for number in range(3)]
    moves = choose_moves(jobs, [peer("south", 8.0), peer("east", 4.0)], {}, LIMITS)
    assert moves == [Move("wk-000000", "south"), Move("wk-000001", "east")]


def test_jobs_in_flight_to_a_peer_are_limited() -> None:
    jobs = [late_job(f"wk-00000{number}") for number in range(5)]
    assert len(choose_moves(jobs, [peer()], {}, LIMITS)) == LIMITS.max_in_flight
    assert choose_moves(jobs, [peer()], {"south": LIMITS.max_in_flight}, LIMITS) == []


def test_two_saturated_cells_move_nothing() -> None:
    north, south = peer("north", backlog_s=30.0), peer("south", backlog_s=30.0)
    assert choose_moves([late_job()], [south], {}, LIMITS) == choose_moves([late_job()], [north], {}, LIMITS) == []


class StoredCell:
    """The stored tables of a cell with machines of eight cores each."""

    def __init__(self, store: Store, settings: Settings, machines: int) -> None:
        self.store, self.settings = store, settings
        store.view(3, ("c0", 1))
        store.member("c0", 1, recovered_view=3)
        rows = {f"vm-{number}": ["127.0.0.1:9000", "small", "a", True] for number in range(machines)}
        store.put(keys.machine_group_key("c0.1.1"), {"m": rows})

    def summary(self) -> Summary:
        return summarise(self.store.tables, self.settings, "north", 1, self.store.revision)

    def queue(self) -> list[Job]:
        return job_queue.queue_order(self.store.tables, self.settings, 0)


def test_claimed_and_waiting_tasks_reduce_the_free_capacity_of_a_summary(settings: Settings, store: Store) -> None:
    cell = StoredCell(store, settings, 4)
    assert cell.summary().free == Resources(32.0, 0.0, 64.0) and not cell.summary().saturated
    store.job(spec("wk-000001"))
    store.progress("wk-000001", c0_1=0b0011)
    summary = cell.summary()
    assert summary.free.cores == 24.0 and not summary.saturated
    assert summary.free_for_team("red").cores == 20.0 - 8.0
    assert summary.free_for_team("blue") == Resources()
    assert summary.pools == (MachinePool("small", True, Resources(8.0, 0.0, 16.0), MACHINE_TYPE.fetch_gb_s, 4),)


def test_a_cell_with_waiting_tasks_that_do_not_fit_is_saturated(settings: Settings, store: Store) -> None:
    cell = StoredCell(store, settings, 1)
    store.job(spec("wk-000001", visits=10))
    summary = cell.summary()
    assert summary.saturated and summary.backlog_s == 10 * 2.0 * 40.0 / 8.0 and summary.free.cores == 0.0


def test_work_queued_before_a_job_delays_it(store: Store) -> None:
    settings = parse(SETTINGS)
    cell = StoredCell(store, settings, 1)
    for number in range(3):
        store.job(spec(f"wk-00000{number}", dueS=100.0))
    queue = cell.queue()
    names = {job.spec.id for job in queue}
    candidates = find_candidates(queue, names, store.tables, settings, 0)
    # The first job fits at once. Each of the others waits for the work before it: 8 cores for 40 s per job, on 8 cores.
    assert [item.local_completion_s for item in candidates] == [40.0, 120.0, 160.0]
    assert [item.until_target_s for item in candidates] == [100.0, 100.0, 100.0]
    assert find_candidates(queue, {"wk-000001"}, store.tables, settings, 0) == candidates[1:2]
    moves = choose_moves(candidates, [peer()], {}, move_limits(settings, 5))
    assert moves == [Move("wk-000001", "south"), Move("wk-000002", "south")]


def test_outdated_summaries_are_ignored() -> None:
    cache = SummaryCache(max_age_s=10.0)
    young = Summary("south", 2, 50)
    assert cache.add(young, 100.0) and cache.current(110.0) == [young]
    assert cache.current(110.1) == []
    assert not cache.add(Summary("south", 1, 90), 101.0), "restored from a copy"
    assert not cache.add(Summary("south", 2, 49), 101.0), "a lagging controller"
    assert not cache.add(Summary("south", 2, 51), 99.0), "an answer to an earlier question"
    newer = Summary("south", 3, 7)
    assert cache.add(newer, 101.0) and cache.current(101.0) == [newer]


def test_jobs_with_unfinished_prerequisites_are_no_backlog(settings: Settings, store: Store) -> None:
    cell = StoredCell(store, settings, 1)
    store.job(spec("wk-000001"))
    store.job(spec("wk-000002", visits=50, awaits=["wk-000001"]))
    assert store.tables.jobs["wk-000002"].unfinished_prerequisites == 1
    assert not cell.summary().saturated


def test_moved_jobs_are_queued_behind_the_cells_own_guaranteed_jobs(store: Store) -> None:
    """A job from another cell uses none of its team's guarantee, at any age; otherwise it is ordered like any job."""
    settings = parse(SETTINGS)
    store.put(keys.job_key("wk-000001"), encode_job(JobState.LIVE, spec("wk-000001"), 0) | {"o": ["south", 7]})
    store.job(spec("wk-000002"))
    store.job(spec("wk-000003"))
    # Eight cores are guaranteed and each job uses eight: only the first of the cell's own jobs is within the guarantee.
    names = [job.spec.id for job in job_queue.queue_order(store.tables, settings, 0)]
    assert names == ["wk-000002", "wk-000001", "wk-000003"]
    late_ms = int(1000 * 9 * settings.lease_s)
    late = [job.spec.id for job in job_queue.queue_order(store.tables, settings, late_ms)]
    assert late.index("wk-000003") < late.index("wk-000001"), "only the cell's own go first for having waited long"
