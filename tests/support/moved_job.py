"""A simulation of cells without faults in which one job has moved."""

from __future__ import annotations

import anyio

from sloeswitch.core.records import Job
from sloeswitch.frame_link import NoAnswerError
from sloeswitch.replica import StaleReplicaError
from tests.support.cells import CellWorld
from tests.support.single_controller import JOB


class MovedJob:
    """A simulation without faults in which a job of the north was offered to the south.

    The south has accepted it unless `accepted` is False.
    """

    def __init__(self, job_class: str, accepted: bool = True, visits: int = 3) -> None:
        self.world = CellWorld(1, faults_enabled=False)
        self.north, self.south = self.world.cells["north"], self.world.cells["south"]
        self.controller = self.north.controllers["c0"]
        for controller in self.north.controllers.values():
            # All controllers manage the job's handoffs, so that a test may use any of them.
            controller.origin._manages_handoffs_of = lambda name: True  # type: ignore[method-assign]
        anyio.run(self._begin, job_class, visits)
        if accepted:
            self.poll_peer()

    async def _begin(self, job_class: str, visits: int) -> None:
        for cell in self.world.cells.values():
            cell.renew()
            for controller in cell.controllers.values():
                await controller.origin.record_member()
        await self.world.submit("north", JOB, job_class, visits=visits, expectedS=10.0)
        job = self.north.store.tables.jobs[JOB]
        await self.controller.origin._start_handoff(job, "south")

    def renew(self, later_s: float = 0.0) -> None:
        self.world.clock.time += later_s
        for cell in self.world.cells.values():
            cell.renew()

    def poll_peer(self) -> None:
        async def poll_peer() -> None:
            try:
                await self.controller.origin.poll_peer("south")
            except (NoAnswerError, StaleReplicaError):
                for name, _row in list(self.controller.origin._rows_with_handoffs()):
                    await self.controller.origin._send_requests(name, "south", self.controller.origin.links["south"])

        self.renew()
        anyio.run(poll_peer)

    def cut(self, *links: tuple[str, str]) -> None:
        self.world.cuts = set(links)

    def run_machines(self, cell: str) -> None:
        anyio.run(self.world.cells[cell].run_machines)

    def run_in_target(self) -> None:
        """Runs the job in the south until it is completed."""
        self.run_machines("south")
        self.renew(30.0)
        self.run_machines("south")
        self.run_machines("south")

    @property
    def origin_job(self) -> Job:
        return self.north.store.tables.jobs[JOB]

    def status(self) -> str | None:
        return self.controller.jobs.status(JOB)

    def cancel(self) -> str | None:
        return anyio.run(self.controller.jobs.cancel, JOB)
