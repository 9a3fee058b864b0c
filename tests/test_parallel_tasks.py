"""How many tasks of a job run at once for it to be done in time."""

from __future__ import annotations

from sloeswitch.core import scaling
from sloeswitch.settings import parse
from tests.conftest import SETTINGS, Store, spec


def test_the_fleet_is_sized_for_the_time_left(store: Store) -> None:
    store.job(spec("wk-000001", dueS=400.0, visits=10))
    job = store.tables.jobs["wk-000001"]
    settings = parse(SETTINGS)
    early, late = (scaling.parallel_tasks(job, settings, wall_clock_ms, 0.5) for wall_clock_ms in (0, 300_000))
    assert early == 2 and late == 8
