"""Submissions of jobs that can never run, and repeated submissions of known jobs."""

from __future__ import annotations

from typing import Any

import pytest

from tests.conftest import Store, submission
from tests.support.single_controller import JOB, World, submit, world_with_scale_in


@pytest.fixture
def world(store: Store) -> World:
    return world_with_scale_in(store)


@pytest.mark.parametrize(
    ("changes", "status"),
    [
        ({"spread": True, "district": "a"}, 422),
        ({"spread": True, "together": True}, 422),
        ({"spread": True, "visits": 1, "district": "a"}, 201),
        ({"spread": True}, 201),
        ({"builds": []}, 422),
        ({"builds": ["none"]}, 422),
        ({"district": "nowhere"}, 422),
        ({"cores": 8.5}, 422),
        ({"memoryGb": 17.0}, 422),
        ({"accelerators": 1}, 422),
        ({"shape": "group", "visits": 11}, 422),
        ({"crew": "nobody"}, 422),
        *(({name: ...}, 400) for name in submission() if name not in ("id", "builds", "district", "dueS")),
        *(({name: {}}, 400) for name in submission() if name != "id"),
    ],
)
def test_a_job_that_can_never_run_or_is_malformed_is_rejected(world: World, changes: Any, status: int) -> None:
    assert submit(world, JOB, **changes) == status
    # While the machine types are unknown, a submission is refused for now; a malformed one is always rejected.
    world.store.tables.machine_types.clear()
    status_without_types = 400 if status == 400 else 503
    assert submit(world, "wk-000002", **changes) == status_without_types


def test_a_repeated_submission_of_a_known_job_is_answered_whatever_its_other_fields(world: World) -> None:
    assert submit(world, JOB) == 201
    for changes in ({"visits": 7}, {"cores": 99.0}, {"crew": "nobody"}, {"kit": ...}, {"urgency": 5}):
        assert submit(world, JOB, **changes) == 200
    assert world.store.tables.jobs[JOB].spec.tasks == 4
