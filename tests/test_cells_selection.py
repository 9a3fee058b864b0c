"""When a job moves to another cell, and what cells tell each other for that."""

from __future__ import annotations

import pytest

from sloeswitch.cells.selection import Candidate, Move, MoveLimits, candidates, choose, limits_of
from sloeswitch.cells.summary import MachinePool, Resources, Summary, SummaryBook, summarise
from sloeswitch.core import job_queue, keys
from sloeswitch.core.records import Job, JobState
from sloeswitch.core.row_codec import encode_job
from sloeswitch.settings import Settings, parse
from tests.conftest import MACHINE_TYPE, SETTINGS, Store, spec

LIMITS = MoveLimits(margin_s=10.0, transfer_s=5.0, most_under_way=2)
POOL = MachinePool("small", True, Resources(8.0, 0.0, 16.0), 0.5, 10)
TEAM_ROOM = (("red", 80.0, 0.0),)


def peer(cell: str = "south", cores: float = 80.0, backlog_s: float = 0.0) -> Summary:
    free = Resources(cores, 0.0, 2 * cores)
    return Summary(cell, 1, 10, (POOL,), free, backlog_s, TEAM_ROOM)


def late_job(name: str = "wk-000001", left_s: float = 100.0, here_s: float = 200.0, **changes: object) -> Candidate:
    """Four tasks of two cores and 40 s, with an image of 2 s; in another cell done within 47 s."""
    return Candidate(spec(name, **changes), left_s, here_s)


def test_a_job_that_is_late_here_and_in_time_there_moves() -> None:
    assert choose([late_job()], [peer()], {}, LIMITS) == [Move("wk-000001", "south")]


@pytest.mark.parametrize(
    ("candidate", "summary"),
    [
        (late_job(here_s=109.0), peer()),  # late by less than the margin
        (late_job(left_s=56.0), peer()),  # in time there by less than the margin
        (late_job(), peer(backlog_s=1.0)),  # saturated
        (late_job(), peer(cores=1.0)),  # no room
        (late_job(kit="img-9", pullGb=30.0), peer()),  # the image takes a minute
        (late_job(district="a"), peer()),  # bound to a zone
        (late_job(crew="blue"), peer()),  # a team that the peer does not know
        (late_job(loaners=False), peer()),  # the peer has spot machines only
        (late_job(builds=["large"]), peer()),  # and none of that type
        (late_job(shape="group", visits=40), peer(cores=78.0)),  # a gang moves whole
        (Candidate(spec(), None, 200.0), peer()),  # no target that it could still meet
    ],
)
def test_a_job_stays(candidate: Candidate, summary: Summary) -> None:
    assert choose([candidate], [summary], {}, LIMITS) == []


def test_room_is_given_once_and_the_cell_where_the_job_ends_first_is_chosen() -> None:
    """Each job takes all eight cores; the farther one has less room, and would need two rounds."""
    jobs = [late_job(f"wk-00000{number}", left_s=150.0, here_s=300.0) for number in range(3)]
    moves = choose(jobs, [peer("south", 8.0), peer("east", 4.0)], {}, LIMITS)
    assert moves == [Move("wk-000000", "south"), Move("wk-000001", "east")]


def test_no_more_than_a_stated_number_is_under_way_to_a_peer() -> None:
    jobs = [late_job(f"wk-00000{number}") for number in range(5)]
    assert len(choose(jobs, [peer()], {}, LIMITS)) == LIMITS.most_under_way
    assert choose(jobs, [peer()], {"south": LIMITS.most_under_way}, LIMITS) == []


def test_two_saturated_cells_move_nothing() -> None:
    north, south = peer("north", backlog_s=30.0), peer("south", backlog_s=30.0)
    assert choose([late_job()], [south], {}, LIMITS) == choose([late_job()], [north], {}, LIMITS) == []


class Cell:
    """Stored tables of a cell with machines of eight cores."""

    def __init__(self, store: Store, settings: Settings, machines: int) -> None:
        self.store, self.settings = store, settings
        store.view(3, ("c0", 1))
        store.member("c0", 1, settled=3)
        rows = {f"vm-{number}": ["127.0.0.1:9000", "small", "a", True] for number in range(machines)}
        store.put(keys.machine_group_key("c0.1.1"), {"m": rows})

    def summary(self) -> Summary:
        return summarise(self.store.tables, self.settings, "north", 1, self.store.epoch)

    def line(self) -> list[Job]:
        return job_queue.queue_order(self.store.tables, self.settings, 0)


def test_a_summary_counts_what_runs_and_what_waits_as_taken(settings: Settings, store: Store) -> None:
    cell = Cell(store, settings, 4)
    assert cell.summary().free == Resources(32.0, 0.0, 64.0) and not cell.summary().saturated
    store.job(spec("wk-000001"))
    store.progress("wk-000001", c0_1=0b0011)
    summary = cell.summary()
    assert summary.free.cores == 24.0 and not summary.saturated
    assert summary.room_of_team("red").cores == 20.0 - 8.0
    assert summary.room_of_team("blue") == Resources()
    assert summary.pools == (MachinePool("small", True, Resources(8.0, 0.0, 16.0), MACHINE_TYPE.fetch_gb_s, 4),)


def test_a_cell_whose_work_finds_no_room_is_saturated(settings: Settings, store: Store) -> None:
    cell = Cell(store, settings, 1)
    store.job(spec("wk-000001", visits=10))
    summary = cell.summary()
    assert summary.saturated and summary.backlog_s == 10 * 2.0 * 40.0 / 8.0 and summary.free.cores == 0.0


def test_the_work_before_a_job_in_the_line_counts(store: Store) -> None:
    settings = parse(SETTINGS)
    cell = Cell(store, settings, 1)
    for number in range(3):
        store.job(spec(f"wk-00000{number}", dueS=100.0))
    line = cell.line()
    names = {job.spec.id for job in line}
    found = candidates(line, names, store.tables, settings, 0)
    # The first fits at once; the others wait for it, eight core-times of 40 s on eight cores each.
    assert [item.here_s for item in found] == [40.0, 120.0, 160.0]
    assert [item.left_s for item in found] == [100.0, 100.0, 100.0]
    assert candidates(line, {"wk-000001"}, store.tables, settings, 0) == found[1:2]
    moves = choose(found, [peer()], {}, limits_of(settings, 5))
    assert moves == [Move("wk-000001", "south"), Move("wk-000002", "south")]


def test_summaries_that_are_old_late_or_of_an_older_incarnation_count_for_nothing() -> None:
    book = SummaryBook(max_age_s=10.0)
    young = Summary("south", 2, 50)
    assert book.hear(young, 100.0) and book.current(110.0) == [young]
    assert book.current(110.1) == []
    assert not book.hear(Summary("south", 1, 90), 101.0), "restored from a copy"
    assert not book.hear(Summary("south", 2, 49), 101.0), "a lagging controller"
    assert not book.hear(Summary("south", 2, 51), 99.0), "an answer to an earlier question"
    newer = Summary("south", 3, 7)
    assert book.hear(newer, 101.0) and book.current(101.0) == [newer]


def test_what_waits_for_others_is_no_backlog(settings: Settings, store: Store) -> None:
    cell = Cell(store, settings, 1)
    store.job(spec("wk-000001"))
    store.job(spec("wk-000002", visits=50, awaits=["wk-000001"]))
    assert store.tables.jobs["wk-000002"].unfinished_prerequisites == 1
    assert not cell.summary().saturated


def test_what_was_handed_over_stands_behind_the_cells_own_guaranteed_work(store: Store) -> None:
    """And takes nothing of its team's guarantee, however old it is; with the rest it stands as any other job does."""
    settings = parse(SETTINGS)
    store.put(keys.job_key("wk-000001"), encode_job(JobState.LIVE, spec("wk-000001"), 0) | {"o": ["south", 7]})
    store.job(spec("wk-000002"))
    store.job(spec("wk-000003"))
    # Eight cores are guaranteed, and each job takes that much: only the first of the cell's own is within it.
    names = [job.spec.id for job in job_queue.queue_order(store.tables, settings, 0)]
    assert names == ["wk-000002", "wk-000001", "wk-000003"]
    late_ms = int(1000 * 9 * settings.lease_s)
    late = [job.spec.id for job in job_queue.queue_order(store.tables, settings, late_ms)]
    assert late.index("wk-000003") < late.index("wk-000001"), "only the cell's own go first for having waited long"
