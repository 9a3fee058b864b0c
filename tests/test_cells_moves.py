"""Cells: single moves of a job, with lost answers, refusals, cancellations and outages."""

from __future__ import annotations

from typing import Any

import anyio

from sloeswitch import wire
from sloeswitch.actors.users import Users
from sloeswitch.cells.frames import CellAnswer, CellRequest, Offer
from sloeswitch.cells.messages import Answer, HandoffId, Request, RequestMessage
from sloeswitch.cells.origin import STAY_LEASES, TAKE_BACK_LEASES
from sloeswitch.frame_link import NoAnswerError
from sloeswitch.http import Request as HttpRequest
from tests.conftest import spec, submission
from tests.support.cell import Cell, settings_cache
from tests.support.cells import CellWorld
from tests.support.moved_job import Moved

JOB = "wk-000001"

BOTH_WAYS = (("north", "south"), ("south", "north"))


def test_a_job_that_moved_is_not_claimed_at_home_and_its_end_is_the_origins_result() -> None:
    moved = Moved("once")
    assert not moved.at_origin.is_runnable and moved.south.store.tables.jobs[JOB].incoming_handoff is not None
    moved.work("north")
    assert JOB not in moved.world.starts
    moved.run_there()
    assert moved.status() == wire.JobStatus.QUEUED
    moved.talk()
    assert moved.status() == wire.JobStatus.DONE and moved.world.starts[JOB].keys() == {"south"}
    tables = moved.south.store.tables
    assert JOB not in tables.finished_jobs and tables.handoff_floors["north"] > 0, "acknowledged, and fenced"


def test_users_of_the_target_know_nothing_of_a_job_that_was_handed_over() -> None:
    """Its own user asks the origin, and is told where it is."""
    moved = Moved("once")

    def ask(cell: Cell, method: str, path: str, body: dict[str, Any] | None = None) -> tuple[int, dict[str, Any]]:
        controller = cell.controllers["c0"]
        nobody: Any = None
        users = Users(
            controller.context,
            controller.jobs,
            nobody,
        )
        data = b"" if body is None else wire.encode(body)
        answer = anyio.run(users.handle, HttpRequest(method, path, data))
        return answer.status, wire.decode(answer.body, dict[str, Any])

    assert ask(moved.south, "GET", f"/submissions/{JOB}")[0] == 404
    assert ask(moved.south, "POST", f"/submissions/{JOB}/cancel")[0] == 404
    assert ask(moved.south, "POST", "/submissions", submission(JOB))[0] == 503, "the name is taken for now"
    assert ask(moved.south, "POST", "/submissions", submission("wk-000002", awaits=[JOB]))[0] == 503
    assert JOB in moved.south.store.tables.jobs
    status, answer = ask(moved.north, "GET", f"/submissions/{JOB}")
    assert (status, answer["status"], answer["cell"]) == (200, "queued", "south")
    assert ask(moved.north, "POST", f"/submissions/{JOB}/cancel")[0] == 503


def test_a_late_copy_of_an_offer_starts_nothing_after_the_job_is_over() -> None:
    moved = Moved("once")
    moved.run_there()
    handoff = HandoffId("north", JOB, moved.at_origin.outgoing_handoffs.away.number)  # type: ignore[union-attr]
    offer = CellRequest(RequestMessage(handoff, Request.OFFER), 1, Offer(moved.world.specs[JOB], 0))
    moved.talk()
    moved.renew()
    assert anyio.run(moved.world.deliver, "south", offer) is Answer.REFUSED
    assert JOB not in moved.south.store.tables.jobs


def test_a_once_job_waits_for_a_cell_out_of_reach_and_its_cancellation_is_not_confirmed() -> None:
    moved = Moved("once")
    moved.cut(*BOTH_WAYS)
    moved.talk()
    moved.renew(2 * TAKE_BACK_LEASES * settings_cache().lease_s)
    moved.talk()
    moved.work("north")
    assert JOB not in moved.world.starts and moved.cancel() is None
    moved.work("south")
    assert moved.world.starts[JOB].keys() == {"south"}
    moved.cut()
    for _ in range(3):
        moved.talk()
        moved.work("south")
    assert moved.cancel() == wire.JobStatus.CANCELLED
    assert not moved.south.running


def test_a_repeatable_job_runs_at_home_when_its_target_is_out_of_reach_and_ends_once() -> None:
    moved = Moved("again")
    moved.cut(*BOTH_WAYS)
    moved.talk()
    moved.work("south")
    moved.renew(TAKE_BACK_LEASES * settings_cache().lease_s - 1.0)
    moved.talk()
    assert not moved.at_origin.is_runnable, "not yet"
    moved.renew(2.0)
    moved.talk()
    moved.work("north")
    moved.renew(30.0)
    moved.work("north")
    moved.work("north")
    assert moved.status() == wire.JobStatus.DONE and set(moved.world.starts[JOB]) == {"north", "south"}
    moved.work("south")
    moved.work("south")
    moved.cut()
    for _ in range(3):
        moved.talk()
    assert moved.status() == wire.JobStatus.DONE
    assert (
        JOB not in moved.north.store.tables.finished_jobs_with_handoffs
        and JOB not in moved.south.store.tables.finished_jobs
    )


def test_a_cancellation_stops_the_job_where_it_runs_and_is_then_confirmed() -> None:
    moved = Moved("once")
    moved.work("south")
    assert moved.south.running and moved.cancel() is None
    moved.talk()
    moved.work("south")
    moved.work("south")
    assert not moved.south.running
    moved.talk()
    assert moved.cancel() == wire.JobStatus.CANCELLED


def test_a_cancellation_that_meets_the_end_is_answered_done() -> None:
    moved = Moved("once")
    moved.work("south")
    assert moved.cancel() is None
    moved.renew(30.0)
    moved.work("south")
    moved.work("south")
    moved.talk()
    assert moved.cancel() == wire.JobStatus.DONE


def test_an_offer_whose_answer_is_lost_counts_as_accepted() -> None:
    moved = Moved("once", accepted=False)
    moved.cut(("south", "north"))
    moved.talk()
    assert JOB in moved.south.store.tables.jobs and not moved.at_origin.is_runnable
    moved.cut()
    moved.run_there()
    moved.talk()
    assert moved.status() == wire.JobStatus.DONE


def test_a_refused_job_comes_home_and_stays_there_for_a_while() -> None:
    moved = Moved("once", accepted=False)
    moved.south.store.job(spec("wk-000009", visits=50))  # saturated
    moved.talk()
    job = moved.at_origin
    assert job.is_runnable and job.returned_ms and not job.outgoing_handoffs.placements  # type: ignore[union-attr]
    origin = moved.controller.origin
    assert not origin._movable(job, job.returned_ms + 1)
    assert origin._movable(job, job.returned_ms + 1 + int(1000 * STAY_LEASES * settings_cache().lease_s))


def test_a_job_that_could_start_at_home_is_asked_for_back_unless_it_began() -> None:
    moved = Moved("once")
    moved.talk()
    moved.renew(STAY_LEASES * settings_cache().lease_s + 1)
    moved.talk()
    assert moved.at_origin.is_runnable and JOB not in moved.south.store.tables.jobs
    begun = Moved("once")
    begun.work("south")
    begun.talk()
    begun.renew(STAY_LEASES * settings_cache().lease_s + 1)
    begun.talk()
    assert not begun.at_origin.is_runnable and JOB in begun.south.store.tables.jobs


def test_a_lost_acknowledgement_is_sent_again() -> None:
    """The origin has stored the end and asks no more: the target tells what it still keeps."""
    moved = Moved("once")
    moved.run_there()
    link = moved.controller.origin.links["south"]
    send = link.request

    async def lossy(request: CellRequest) -> CellAnswer:
        if request.message.request is Request.ACKNOWLEDGE:
            raise NoAnswerError("lost")
        return await send(request)

    link.request = lossy  # type: ignore[method-assign]
    moved.talk()
    assert moved.status() == wire.JobStatus.DONE and JOB in moved.south.store.tables.finished_jobs
    link.request = send  # type: ignore[method-assign]
    moved.talk()
    assert JOB not in moved.south.store.tables.finished_jobs


def test_a_target_without_its_state_service_answers_nothing() -> None:
    moved = Moved("once", accepted=False)
    moved.south.outage = True
    moved.talk()
    assert JOB not in moved.south.store.tables.jobs and not moved.at_origin.is_runnable


def test_an_origin_without_its_state_service_forgets_no_end() -> None:
    moved = Moved("once")
    moved.run_there()
    moved.north.outage = True
    moved.talk()
    assert moved.status() == wire.JobStatus.QUEUED and JOB in moved.south.store.tables.finished_jobs, "not acknowledged"
    moved.north.outage = False
    moved.talk()
    assert moved.status() == wire.JobStatus.DONE and JOB not in moved.south.store.tables.finished_jobs


def test_a_cell_restored_from_a_copy_is_not_listened_to() -> None:
    moved = Moved("once", accepted=False)
    target = moved.south.controllers["c0"].target
    offer = Offer(moved.world.specs[JOB], 0)
    handoff = HandoffId("north", JOB, 1)
    later = CellRequest(RequestMessage(handoff, Request.QUERY), 2)
    assert anyio.run(target.answer, later) is Answer.UNKNOWN
    older = CellRequest(RequestMessage(handoff, Request.OFFER), 1, offer)
    assert anyio.run(target.answer, older) is None
    origin = moved.controller.origin
    assert origin._heard("south", 3) and not origin._heard("south", 2)


def test_nothing_moves_before_every_configured_controller_has_the_feature() -> None:
    world = CellWorld(1, troubled=False)
    north = world.cells["north"]
    north.renew()

    async def mark(*members: str) -> None:
        for member in members:
            await north.controllers[member].origin.mark()

    anyio.run(mark, "c0", "c1")
    target = north.controllers["c0"].target
    assert not target.switched_on and target.summary() is None
    offer = CellRequest(RequestMessage(HandoffId("south", JOB, 1), Request.OFFER), 1, Offer(spec(JOB), 0))
    epoch = north.store.epoch
    assert anyio.run(target.answer, offer) is None
    assert north.store.epoch == epoch, "no row that an earlier version does not know"
    anyio.run(mark, "c2")
    assert target.switched_on and target.summary() is not None


def test_a_name_that_the_target_knows_is_refused_and_its_own_job_left_alone() -> None:
    moved = Moved("once", accepted=False)
    moved.south.store.job(spec(JOB, visits=1))
    moved.talk()
    assert moved.south.store.tables.jobs[JOB].incoming_handoff is None
    assert moved.at_origin.is_runnable
