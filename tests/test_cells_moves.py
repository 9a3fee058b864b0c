"""Cells: one handoff of one job, with lost answers, refusals, cancellations and outages."""

from __future__ import annotations

from typing import Any

import anyio

from sloeswitch import wire
from sloeswitch.actors.users import Users
from sloeswitch.cells.frames import CellAnswer, CellRequest, Offer
from sloeswitch.cells.messages import Answer, HandoffId, Request, RequestMessage
from sloeswitch.cells.origin import MIN_STAY_LEASES, RECALL_LEASES
from sloeswitch.frame_link import NoAnswerError
from sloeswitch.http import Request as HttpRequest
from tests.conftest import spec, submission
from tests.support.cell import Cell, shared_settings
from tests.support.cells import CellWorld
from tests.support.moved_job import MovedJob

JOB = "wk-000001"

BOTH_WAYS = (("north", "south"), ("south", "north"))


def test_a_moved_job_is_not_claimed_in_its_origin_which_stores_its_result() -> None:
    moved = MovedJob("once")
    assert not moved.origin_job.is_runnable and moved.south.store.tables.jobs[JOB].incoming_handoff is not None
    moved.run_machines("north")
    assert JOB not in moved.world.starts
    moved.run_in_target()
    assert moved.status() == wire.JobStatus.QUEUED
    moved.poll_peer()
    assert moved.status() == wire.JobStatus.DONE and moved.world.starts[JOB].keys() == {"south"}
    tables = moved.south.store.tables
    assert JOB not in tables.finished_jobs and tables.handoff_floors["north"] > 0, "acknowledged, and fenced"


def test_a_moved_job_is_hidden_from_users_of_its_target() -> None:
    """Its own user asks the origin, which answers with the cell that the job is in."""
    moved = MovedJob("once")

    def ask(cell: Cell, method: str, path: str, body: dict[str, Any] | None = None) -> tuple[int, dict[str, Any]]:
        controller = cell.controllers["c0"]
        machines: Any = None
        users = Users(
            controller.context,
            controller.jobs,
            machines,
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


def test_a_delayed_offer_is_refused_after_the_job_has_ended() -> None:
    moved = MovedJob("once")
    moved.run_in_target()
    handoff = HandoffId("north", JOB, moved.origin_job.outgoing_handoffs.moved_to.number)  # type: ignore[union-attr]
    offer = CellRequest(RequestMessage(handoff, Request.OFFER), 1, Offer(moved.world.specs[JOB], 0))
    moved.poll_peer()
    moved.renew()
    assert anyio.run(moved.world.deliver, "south", offer) is Answer.REFUSED
    assert JOB not in moved.south.store.tables.jobs


def test_a_once_job_waits_for_an_unreachable_target_and_its_cancellation_is_not_confirmed() -> None:
    moved = MovedJob("once")
    moved.cut(*BOTH_WAYS)
    moved.poll_peer()
    moved.renew(2 * RECALL_LEASES * shared_settings().lease_s)
    moved.poll_peer()
    moved.run_machines("north")
    assert JOB not in moved.world.starts and moved.cancel() is None
    moved.run_machines("south")
    assert moved.world.starts[JOB].keys() == {"south"}
    moved.cut()
    for _ in range(3):
        moved.poll_peer()
        moved.run_machines("south")
    assert moved.cancel() == wire.JobStatus.CANCELLED
    assert not moved.south.running


def test_a_repeatable_job_runs_in_its_origin_when_its_target_is_unreachable_and_ends_once() -> None:
    moved = MovedJob("again")
    moved.cut(*BOTH_WAYS)
    moved.poll_peer()
    moved.run_machines("south")
    moved.renew(RECALL_LEASES * shared_settings().lease_s - 1.0)
    moved.poll_peer()
    assert not moved.origin_job.is_runnable, "not yet"
    moved.renew(2.0)
    moved.poll_peer()
    moved.run_machines("north")
    moved.renew(30.0)
    moved.run_machines("north")
    moved.run_machines("north")
    assert moved.status() == wire.JobStatus.DONE and set(moved.world.starts[JOB]) == {"north", "south"}
    moved.run_machines("south")
    moved.run_machines("south")
    moved.cut()
    for _ in range(3):
        moved.poll_peer()
    assert moved.status() == wire.JobStatus.DONE
    assert (
        JOB not in moved.north.store.tables.finished_jobs_with_handoffs
        and JOB not in moved.south.store.tables.finished_jobs
    )


def test_a_cancellation_stops_the_job_where_it_runs_and_is_then_confirmed() -> None:
    moved = MovedJob("once")
    moved.run_machines("south")
    assert moved.south.running and moved.cancel() is None
    moved.poll_peer()
    moved.run_machines("south")
    moved.run_machines("south")
    assert not moved.south.running
    moved.poll_peer()
    assert moved.cancel() == wire.JobStatus.CANCELLED


def test_a_cancellation_of_a_job_that_completed_meanwhile_is_answered_done() -> None:
    moved = MovedJob("once")
    moved.run_machines("south")
    assert moved.cancel() is None
    moved.renew(30.0)
    moved.run_machines("south")
    moved.run_machines("south")
    moved.poll_peer()
    assert moved.cancel() == wire.JobStatus.DONE


def test_an_offer_whose_answer_is_lost_counts_as_accepted() -> None:
    moved = MovedJob("once", accepted=False)
    moved.cut(("south", "north"))
    moved.poll_peer()
    assert JOB in moved.south.store.tables.jobs and not moved.origin_job.is_runnable
    moved.cut()
    moved.run_in_target()
    moved.poll_peer()
    assert moved.status() == wire.JobStatus.DONE


def test_a_refused_job_returns_and_is_not_offered_again_at_once() -> None:
    moved = MovedJob("once", accepted=False)
    moved.south.store.job(spec("wk-000009", visits=50))  # saturates the target
    moved.poll_peer()
    job = moved.origin_job
    assert job.is_runnable and job.returned_ms and not job.outgoing_handoffs.open_handoffs  # type: ignore[union-attr]
    origin = moved.controller.origin
    assert not origin._is_movable(job, job.returned_ms + 1)
    assert origin._is_movable(job, job.returned_ms + 1 + int(1000 * MIN_STAY_LEASES * shared_settings().lease_s))


def test_a_job_that_could_start_in_its_origin_is_withdrawn_unless_it_began() -> None:
    moved = MovedJob("once")
    moved.poll_peer()
    moved.renew(MIN_STAY_LEASES * shared_settings().lease_s + 1)
    moved.poll_peer()
    assert moved.origin_job.is_runnable and JOB not in moved.south.store.tables.jobs
    begun = MovedJob("once")
    begun.run_machines("south")
    begun.poll_peer()
    begun.renew(MIN_STAY_LEASES * shared_settings().lease_s + 1)
    begun.poll_peer()
    assert not begun.origin_job.is_runnable and JOB in begun.south.store.tables.jobs


def test_a_lost_acknowledgement_is_sent_again() -> None:
    """The origin has stored the result and sends no more requests; the target's summary lists what it still keeps."""
    moved = MovedJob("once")
    moved.run_in_target()
    link = moved.controller.origin.links["south"]
    send = link.request

    async def lossy(request: CellRequest) -> CellAnswer:
        if request.message.request is Request.ACKNOWLEDGE:
            raise NoAnswerError("lost")
        return await send(request)

    link.request = lossy  # type: ignore[method-assign]
    moved.poll_peer()
    assert moved.status() == wire.JobStatus.DONE and JOB in moved.south.store.tables.finished_jobs
    link.request = send  # type: ignore[method-assign]
    moved.poll_peer()
    assert JOB not in moved.south.store.tables.finished_jobs


def test_a_target_without_its_state_service_answers_nothing() -> None:
    moved = MovedJob("once", accepted=False)
    moved.south.outage = True
    moved.poll_peer()
    assert JOB not in moved.south.store.tables.jobs and not moved.origin_job.is_runnable


def test_an_origin_without_its_state_service_acknowledges_no_result() -> None:
    moved = MovedJob("once")
    moved.run_in_target()
    moved.north.outage = True
    moved.poll_peer()
    assert moved.status() == wire.JobStatus.QUEUED and JOB in moved.south.store.tables.finished_jobs, "not acknowledged"
    moved.north.outage = False
    moved.poll_peer()
    assert moved.status() == wire.JobStatus.DONE and JOB not in moved.south.store.tables.finished_jobs


def test_messages_of_an_older_incarnation_are_ignored() -> None:
    moved = MovedJob("once", accepted=False)
    target = moved.south.controllers["c0"].target
    offer = Offer(moved.world.specs[JOB], 0)
    handoff = HandoffId("north", JOB, 1)
    later = CellRequest(RequestMessage(handoff, Request.QUERY), 2)
    assert anyio.run(target.answer, later) is Answer.UNKNOWN
    older = CellRequest(RequestMessage(handoff, Request.OFFER), 1, offer)
    assert anyio.run(target.answer, older) is None
    origin = moved.controller.origin
    assert origin._accept_incarnation("south", 3) and not origin._accept_incarnation("south", 2)


def test_nothing_moves_before_every_configured_controller_has_the_feature() -> None:
    world = CellWorld(1, faults_enabled=False)
    north = world.cells["north"]
    north.renew()

    async def record_members(*members: str) -> None:
        for member in members:
            await north.controllers[member].origin.record_member()

    anyio.run(record_members, "c0", "c1")
    target = north.controllers["c0"].target
    assert not target.rollout_complete and target.summary() is None
    offer = CellRequest(RequestMessage(HandoffId("south", JOB, 1), Request.OFFER), 1, Offer(spec(JOB), 0))
    revision = north.store.revision
    assert anyio.run(target.answer, offer) is None
    assert north.store.revision == revision, "no row that an earlier version does not know"
    anyio.run(record_members, "c2")
    assert target.rollout_complete and target.summary() is not None


def test_an_offer_with_a_job_id_in_use_is_refused_and_the_targets_job_is_unchanged() -> None:
    moved = MovedJob("once", accepted=False)
    moved.south.store.job(spec(JOB, visits=1))
    moved.poll_peer()
    assert moved.south.store.tables.jobs[JOB].incoming_handoff is None
    assert moved.origin_job.is_runnable
