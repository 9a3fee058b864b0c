"""Machines kept for work that cannot wait until one is rented and up."""

from __future__ import annotations

import pytest

from sloeswitch.actors.fleet import Fleet
from sloeswitch.cloud import CloudClient
from sloeswitch.core import reserve
from sloeswitch.core import tables as t
from sloeswitch.core.fleet import Need
from sloeswitch.settings import Settings, parse
from tests.conftest import MACHINE_TYPE, SETTINGS, Store, report, spec
from tests.test_actors import World

TYPES = {MACHINE_TYPE.name: MACHINE_TYPE}  # boots in 25 s
FIRST, SECOND = "wk-000001", "wk-000002"
SPAN_S = reserve.REMEMBERED_BOOTS * MACHINE_TYPE.boot_s
# An estimate of 10 s and this deadline leave no time for a slow boot; with the other there is plenty.
TIGHT_S, AMPLE_S = 40.0, 200.0


def need(store: Store, name: str, tasks: int, due_s: float, cores: float = 2.0) -> Need:
    """A job as it is stored, and what it needs at once."""
    job = spec(name, visits=20, cores=cores, expectedS=10.0, dueS=due_s)
    store.job(job)
    return Need(job, tasks)


@pytest.mark.parametrize(("due_s", "expected"), [(TIGHT_S, True), (AMPLE_S, False), (None, False)])
def test_work_cannot_wait_if_a_slow_boot_makes_it_late(
    store: Store, settings: Settings, due_s: float | None, expected: bool
) -> None:
    store.job(spec(FIRST, expectedS=10.0, dueS=due_s))
    assert reserve.cannot_wait(store.tables.jobs[FIRST], settings, TYPES) == expected


def test_what_must_only_start_in_time_may_run_long(store: Store) -> None:
    """Failure found on the bench: long jobs that were to start in a minute counted as if they were to end early, and
    machines were kept for them in vain."""
    aim = '[[deployment.objectives]]\nkind = "wait"\nclass = "train"\nwithin_s = {}\nshare = 0.9\n'
    store.job(spec(FIRST, expectedS=200.0))
    job = store.tables.jobs[FIRST]
    for within_s, expected in ((60.0, False), (15.0, True)):
        job.targets = None
        settings = parse(SETTINGS.replace("[deployment.workers]", aim.format(within_s) + "[deployment.workers]"))
        assert reserve.cannot_wait(job, settings, TYPES) == expected


def test_a_peak_is_kept_for_a_while_and_then_forgotten(store: Store, settings: Settings) -> None:
    """Failure found on the bench: a burst met a fleet of which five sixths had been returned in a quiet minute."""
    kept = reserve.Reserve()
    wanted = [need(store, FIRST, 12, TIGHT_S)]
    kept.observe(wanted, store.tables, settings, 0.0)
    assert kept.missing(wanted, TYPES) == []
    kept.observe([], store.tables, settings, SPAN_S - 1.0)
    assert [missing.tasks for missing in kept.missing([], TYPES)] == [12]
    kept.observe([], store.tables, settings, SPAN_S + 1.0)
    assert kept.missing([], TYPES) == []


def test_nothing_is_kept_long_after_such_work_stopped_coming(store: Store, settings: Settings) -> None:
    """Failure found on the bench: machines stood idle for ten boot times after a day's last work."""
    kept = reserve.Reserve()
    for number in range(40):
        kept.observe([need(store, f"wk-{number:06d}", 12, TIGHT_S)], store.tables, settings, 2.0 * number)
    kept.observe([], store.tables, settings, 80.0 + MACHINE_TYPE.boot_s)
    assert [missing.tasks for missing in kept.missing([], TYPES)] == [12]
    kept.observe([], store.tables, settings, 80.0 + 2 * MACHINE_TYPE.boot_s)
    assert kept.missing([], TYPES) == []


def test_a_lower_peak_follows_a_higher_one(store: Store, settings: Settings) -> None:
    kept = reserve.Reserve()
    kept.observe([need(store, FIRST, 12, TIGHT_S)], store.tables, settings, 0.0)
    kept.observe([need(store, SECOND, 5, TIGHT_S)], store.tables, settings, 100.0)
    kept.observe([], store.tables, settings, SPAN_S + 1.0)
    assert [missing.tasks for missing in kept.missing([], TYPES)] == [5]


def test_jobs_that_suit_the_same_machines_share_a_peak(store: Store, settings: Settings) -> None:
    """Jobs of a class differ in cores: a peak for each of them would keep machines for all that ever came."""
    kept = reserve.Reserve()
    for number in range(5):
        wanted = [need(store, FIRST, 10, TIGHT_S, cores=1.0 + number / 10)]
        kept.observe(wanted, store.tables, settings, 10.0 * number)
    missing = kept.missing([], TYPES)
    assert sum(item.tasks * item.spec.cores for item in missing) == pytest.approx(14.0)


def test_work_that_can_wait_is_not_kept_for_and_counts_as_present(store: Store, settings: Settings) -> None:
    kept = reserve.Reserve()
    kept.observe([need(store, SECOND, 12, AMPLE_S)], store.tables, settings, 0.0)
    assert kept.missing([], TYPES) == []
    kept.observe([need(store, FIRST, 12, TIGHT_S)], store.tables, settings, 1.0)
    others = [need(store, SECOND, 9, AMPLE_S)]
    assert [missing.tasks for missing in kept.missing(others, TYPES)] == [3]


def test_idle_machines_stay_while_they_are_reserved(store: Store) -> None:
    """Failure found on the bench: they were returned after a boot time all the same, and others rented instead."""
    world = World(store)
    cloud = CloudClient(world.settings, lambda: True, world.clock)
    fleet = Fleet(world.settings, world.client, cloud, world.replica, world.standing, world.clock)
    fleet.machines, world.machines.fleet = world.machines, fleet
    store.put(t.group_key("g"), {"m": {"vm-1": ["127.0.0.1:9000", "small", "a", True]}})
    world.heartbeat(report(1, 0))
    world.heartbeat(report(2, 3))
    need(store, FIRST, 4, TIGHT_S)

    def returned_after(seconds: float) -> bool:
        world.clock.time += seconds
        world.standing.renewed_at = world.replica.fresh_at = world.clock.time
        fleet.watch_idle()
        return "vm-1" in fleet.returning

    assert not returned_after(1.0)
    store.put(t.job_key(FIRST), {"s": t.DONE, "n": 20, "t": 0})
    assert not returned_after(1.0)
    assert not returned_after(MACHINE_TYPE.boot_s + 1.0)
    # The peak is too long ago; from then on it is idle for a boot time.
    assert not returned_after(SPAN_S)
    assert returned_after(MACHINE_TYPE.boot_s + 1.0)
