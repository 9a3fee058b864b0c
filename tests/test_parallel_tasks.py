"""How many tasks of a job should run at once so that it meets its deadline."""

from __future__ import annotations

from sloeswitch.core import scaling
from sloeswitch.settings import parse
from tests.conftest import SETTINGS, Store, spec


def test_parallel_tasks_increase_as_the_deadline_approaches(store: Store) -> None:
    store.job(spec("wk-000001", dueS=400.0, visits=10))
    job = store.tables.jobs["wk-000001"]
    settings = parse(SETTINGS)
    early, late = (scaling.parallel_tasks(job, settings, wall_clock_ms, 0.5) for wall_clock_ms in (0, 300_000))
    assert early == 2 and late == 8
