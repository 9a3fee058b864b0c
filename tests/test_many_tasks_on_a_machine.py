"""Very many small tasks: messages to and from their machine stay within the size limit, and all of them run."""

from __future__ import annotations

import json
from typing import Any

import msgspec
import pytest

from sloeswitch import wire
from sloeswitch.core.scaling import machines_needed
from sloeswitch.core.worker_commands import CommandBatch
from sloeswitch.wire import MAX_BODY_BYTES, MAX_TASKS_ON_MACHINE, CommandVerb, WorkerCommand
from tests.conftest import MACHINE_TYPE, spec
from tests.support.cluster import World
from tests.support.cluster_worker import Worker

# No accepted job waits longer than this while a machine that fits has room and its team is under its limit.
MAX_WAIT_S = 90.0
LONG_ID = f"wk-{10**31}"


def encoded_report(report: wire.WorkerReport) -> str:
    """The report as a worker may send it: with a space after each colon and comma, and with its nulls."""
    return json.dumps(msgspec.to_builtins(report))


class LimitedWorker(Worker):
    """A worker that drops answers over the size limit; its own reports must not be over it either."""

    def report(self) -> wire.WorkerReport:
        """Returns the report."""
        report = super().report()
        assert len(encoded_report(report)) <= MAX_BODY_BYTES
        return report

    def receive(self) -> None:
        """Executes the answers that have arrived."""
        self.answers_in_flight = [each for each in self.answers_in_flight if len(each[-1]) <= MAX_BODY_BYTES]
        super().receive()


class LimitedWorld(World):
    """A cluster with such workers."""

    def new_worker(self, name: str) -> Worker:
        """Returns a new worker."""
        return LimitedWorker(self, name)


@pytest.mark.parametrize(
    ("jobs", "fields"),
    [
        (8, {"visits": 200, "cores": 0.004}),
        (1, {"visits": 1600, "cores": 0.0}),
        (16, {"visits": 100, "cores": 0.001}),
    ],
)
def test_all_of_very_many_small_tasks_run_on_one_machine(jobs: int, fields: dict[str, Any]) -> None:
    """Guards against answers over 64 KiB: the worker drops them, they are repeated, and no task ever starts."""
    world = LimitedWorld(seed=jobs, machines=1)
    world.task_end_probability = 0.02
    world.start()
    for number in range(jobs):
        job = spec(f"wk-{number:06d}", memoryGb=0.0, **fields)
        while not world.submit(world.nodes["c0"], job):
            world.step(fault_free=True)
    starts, started_at = 0, world.clock.time
    while world.unfinished():
        world.step(fault_free=True)
        if world.starts > starts:
            starts, started_at = world.starts, world.clock.time
        assert world.clock.time < started_at + MAX_WAIT_S


def test_a_report_of_as_many_tasks_as_a_machine_may_have_is_within_the_limit() -> None:
    item = wire.ReportedTask(f"{LONG_ID}/{wire.MAX_TASKS - 1}", 2**64 - 1, "ended", "mates_gone", False)
    report = wire.WorkerReport("vm-" + "0" * 100, "127.0.0.1:9000", "small", "a", True, 1, 1, 1, [])
    report.tasks = [item] * MAX_TASKS_ON_MACHINE
    assert len(encoded_report(report)) <= MAX_BODY_BYTES
    assert machines_needed(spec(cores=0.0, memoryGb=0.0), MAX_TASKS_ON_MACHINE, MACHINE_TYPE) == pytest.approx(1.0)


def test_commands_beyond_the_limit_of_a_message_are_left_to_a_later_one() -> None:
    """Also commands for attempts that an earlier version placed, or that the controller does not know."""
    batch = CommandBatch()
    commands = [WorkerCommand(CommandVerb.KILL, f"{LONG_ID}/{index}", 2**40, 10.0) for index in range(1000)]
    added = [batch.add(command) for command in commands]
    assert added[0] and not added[-1] and batch.commands == commands[: sum(added)]
    body = wire.encode(wire.WorkerCommands(2**63, batch.commands, 2**63))
    assert MAX_BODY_BYTES - 512 < len(body) <= MAX_BODY_BYTES
