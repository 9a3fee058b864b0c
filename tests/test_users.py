"""The operations that paths and methods are routed to."""

from __future__ import annotations

import anyio
import pytest

from sloeswitch import wire
from sloeswitch.actors.users import Users
from sloeswitch.http import Answer, Request
from tests.conftest import Store, spec
from tests.support.single_controller import World

JOB = "wk-000001"


def ask(store: Store, method: str, path: str) -> Answer:
    """Returns the answer of a controller with one job."""
    world = World(store)
    store.job(spec())
    users = Users(world.context, world.jobs, world.machines)
    return anyio.run(users.handle, Request(method, path, b""))


@pytest.mark.parametrize("path", [f"/submissions/{JOB}", f"/submissions/{JOB}/", f"//submissions/{JOB}?from=here"])
def test_a_job_is_polled_by_its_name(store: Store, path: str) -> None:
    answer = ask(store, "GET", path)
    assert (answer.status, answer.body) == (200, wire.poll_reply(JOB, wire.JobStatus.QUEUED, 0, 0))


@pytest.mark.parametrize("path", [f"/submissions/{JOB}/cancel", f"/submissions/{JOB}/cancel/?now"])
def test_a_job_is_cancelled_by_its_name(store: Store, path: str) -> None:
    answer = ask(store, "POST", path)
    assert (answer.status, answer.body) == (200, wire.submission_reply(JOB, wire.JobStatus.CANCELLED))


@pytest.mark.parametrize("path", ["/submissions/wk-000009/cancel", "/submissions//cancel"])
def test_an_unknown_job_is_not_cancelled(store: Store, path: str) -> None:
    answer = ask(store, "POST", path)
    assert (answer.status, answer.body) == (404, b'{"error":"no such job"}')


@pytest.mark.parametrize(
    "path",
    [
        "/",
        "",
        "/submissions/",
        "//submissions",
        f"/submissions//{JOB}",
        f"/submissions/{JOB}/stop",
        "/healthz/",
        "/agent",
    ],
)
@pytest.mark.parametrize("method", ["GET", "POST"])
def test_other_paths_are_not_found(store: Store, method: str, path: str) -> None:
    answer = ask(store, method, path)
    assert (answer.status, answer.body) == (404, b'{"error":"no such path"}')


@pytest.mark.parametrize(
    ("path", "allowed"),
    [
        ("/agent/beat", "POST"),
        ("/healthz", "GET"),
        ("/submissions", "POST"),
        (f"/submissions/{JOB}", "GET"),
        ("/submissions/cancel", "GET"),
        (f"/submissions/{JOB}/cancel", "POST"),
    ],
)
def test_an_unsupported_method_is_answered_with_the_allowed_one(store: Store, path: str, allowed: str) -> None:
    for method in {"GET", "POST", "PUT"} - {allowed}:
        answer = ask(store, method, path)
        assert (answer.status, answer.headers) == (405, [("Allow", allowed)])
