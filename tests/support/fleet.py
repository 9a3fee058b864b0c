"""A single controller with many fake machines: takeover from another owner, heartbeats, mass cancellation, deletion.

`python3 -m tests.support.fleet MACHINES` prints how long each phase takes on this computer and the peak memory of the
process. The tests that use this module measure no time.
"""

from __future__ import annotations

import resource
import sys
import time
from collections.abc import Callable
from types import SimpleNamespace
from typing import Any, NamedTuple

import anyio

from sloeswitch import wire
from sloeswitch.actors.commands import CommandReply, InspectionReply
from sloeswitch.actors.machine_messages import HeartbeatRequest, InstancesDeleted
from sloeswitch.core import keys
from sloeswitch.core.cancellation_guard import OVERDUE_SHARE
from sloeswitch.core.records import JobState
from sloeswitch.core.row_codec import split_machine_groups
from sloeswitch.core.transaction import Transaction
from sloeswitch.rate_budget import RequestPriority
from sloeswitch.state_client import TransactionOutcome
from tests.conftest import SETTINGS, Store, spec
from tests.support.single_controller import World, ask

TASKS_PER_MACHINE = 2
MACHINES_PER_JOB = 50
FORMER_INCARNATION_ID = "c1.2"


def machine_name(number: int) -> str:
    return f"vm-{number:06d}"


def job_name(number: int) -> str:
    return f"wk-{number:06d}"


class HungMachineOutcome(NamedTuple):
    """Which machines were deleted when one of them hung, after what time, and the commands and tick time it took."""

    hung: str
    deleted: list[str]
    deleted_after_s: float
    commands: int
    longest_tick_s: float


class RecoveryOutcome(NamedTuple):
    """The transactions of a recovery, with their changes and bytes in total, and its time on this computer."""

    transactions: int
    changes: int
    size_bytes: int
    seconds: float


class FleetWorld(World):
    """Controller c0.1, and machines that c1.2 owned before it terminated."""

    def __init__(self, machines: int) -> None:
        text = SETTINGS.replace("fd_limit = 500", f"fd_limit = {2 * machines}")
        text = text.replace("cpus_max = 20.0", f"cpus_max = {80.0 * machines}")
        store = Store()
        store.put_machine_types()
        store.put_complete_layout()
        super().__init__(store, text)
        self.machine_count = machines
        self.commands: list[tuple[Callable[..., Any], tuple[Any, ...]]] = []
        # The numbers of changes and bytes of each transaction.
        self.transactions: list[tuple[int, int]] = []
        self._record_commits()
        self.machines.commands.spawn = lambda call, *args: self.commands.append((call, args))
        rows = {machine_name(n): ["127.0.0.1:9000", "small", "a", True] for n in range(machines)}
        for number, group in enumerate(split_machine_groups(rows, self.settings.value_bytes)):
            store.put(keys.machine_group_key(f"{FORMER_INCARNATION_ID}.{number}"), {"m": group})
        self.job_count = -(-machines // MACHINES_PER_JOB)
        size = MACHINES_PER_JOB * TASKS_PER_MACHINE
        for number in range(self.job_count):
            store.job(spec(job_name(number), visits=size, cores=1.0))
            store.progress(job_name(number), **{FORMER_INCARNATION_ID.replace(".", "_"): (1 << size) - 1})
        store.put(keys.quota_key("red"), {FORMER_INCARNATION_ID: [4.0 * machines, 0.0]})
        self.report_sequences = dict.fromkeys(rows, 0)
        # Tasks that their machines no longer report.
        self.ended: set[str] = set()
        # Tasks that their machines report as completed.
        self.completed: set[str] = set()

    def _record_commits(self) -> None:
        commit = self.client.compare_and_swap

        async def recorded_commit(
            transaction: Transaction, priority: Any, **more: Any
        ) -> tuple[TransactionOutcome, int]:
            body = wire.commit_body(transaction.conditions, transaction.writes, transaction.deletes, {})
            self.transactions.append((len(transaction), len(body)))
            return await commit(transaction, priority, **more)

        self.client.compare_and_swap = recorded_commit  # type: ignore[method-assign, assignment]

    def tasks_of(self, number: int) -> list[str]:
        job, machine_index = divmod(number, MACHINES_PER_JOB)
        first = machine_index * TASKS_PER_MACHINE
        return [wire.task_name(job_name(job), first + index) for index in range(TASKS_PER_MACHINE)]

    def renew(self) -> None:
        """Renews the lease and marks the tables as just read."""
        self.leadership.lease_renewed_at = self.replica.linearizable_at = self.clock.time

    def _worker_report(self, number: int, fencing_token: int) -> wire.WorkerReport:
        name = machine_name(number)
        self.report_sequences[name] += 1
        items = [
            wire.ReportedTask(task, 7, "ended", "done")
            if task in self.completed
            else wire.ReportedTask(task, 7, "running")
            for task in self.tasks_of(number)
            if task not in self.ended
        ]
        return wire.WorkerReport(
            name, "127.0.0.1:9000", "small", "a", True, 1, self.report_sequences[name], fencing_token, items
        )

    async def report(self, number: int, fencing_token: int) -> int:
        """Sends a machine's heartbeat and returns the HTTP status of the answer."""
        message = HeartbeatRequest(report=self._worker_report(number, fencing_token), last_answer_received=True)
        await self.machines.handle(message)
        return int(message.answer.status)

    def report_all(self, fencing_token: int, silent: str = "") -> set[int]:
        """Sends a heartbeat of every machine except `silent`; returns the set of HTTP statuses."""
        numbers = [number for number in range(self.machine_count) if machine_name(number) != silent]

        async def report_each() -> set[int]:
            return {await self.report(number, fencing_token) for number in numbers}

        return anyio.run(report_each)

    def tick(self) -> None:
        self.machines.monitor.next_check_at = 0.0
        self.machines.claims.claim_in_flight = True  # prevents new claims
        self.machines._tick()

    def commit_all(self) -> int:
        """Commits until there is nothing left to store; returns the number of commits."""
        commits = 0
        while True:
            before = len(self.transactions)
            while self.machines.jobs._inbox:
                anyio.run(self.machines.jobs.handle, self.machines.jobs._inbox.popleft())
            anyio.run(self.jobs._commit_round)
            if len(self.transactions) == before:
                return commits
            commits += 1

    def take_over(self) -> None:
        """Makes this controller the only member: it owns all machines, and they report with its fencing token."""
        self.store.view(4, ("c0", 1))
        self.renew()
        self.tick()
        self.report_all(0)
        self.report_all(4)

    def recover_with_completions(self) -> RecoveryOutcome:
        """Takes over all machines, each with one completed task; returns the cost until the shard is recovered."""
        self.completed = {self.tasks_of(number)[0] for number in range(self.machine_count)}
        started = time.perf_counter()
        self.take_over()
        before = len(self.transactions)
        while not self.machines.registry.is_recovered(self.store.tables, "c0.1"):
            anyio.run(self._commit_round)
        sizes = self.transactions[before:]
        return RecoveryOutcome(
            len(sizes),
            sum(changes for changes, _ in sizes),
            sum(size for _, size in sizes),
            time.perf_counter() - started,
        )

    async def _commit_round(self) -> None:
        while self.machines.jobs._inbox:
            await self.machines.jobs.handle(self.machines.jobs._inbox.popleft())
        await self.jobs._commit_round()

    def take_over_with_a_hung_machine(self) -> HungMachineOutcome:
        """Takes over all machines while a cancellation is overdue; one machine hangs and all others answer."""
        hung, now = machine_name(0), self.clock.time
        key = keys.job_key(job_name(0))
        cancelled_ms = int(1000 * (now - OVERDUE_SHARE * self.settings.cancel_s))
        self.store.put(key, {**self.store.rows[key][0], "s": JobState.CANCELLED, "x": cancelled_ms})
        self.ended = {task for number in range(1, MACHINES_PER_JOB) for task in self.tasks_of(number)}
        self.store.view(4, ("c0", 1))
        deleted: list[str] = []

        def request_termination(machine: str, by_coordinator: bool = False, urgent: bool = False) -> bool:
            is_new = urgent and machine not in deleted
            if is_new:
                deleted.append(machine)
            return is_new

        terminator: Any = SimpleNamespace(request_termination=request_termination)
        self.machines.termination.autoscaler = terminator
        command_count, tick_s = 0, 0.0
        while not deleted:
            self.renew()
            started = time.perf_counter()
            self.tick()
            tick_s = max(tick_s, time.perf_counter() - started)
            commands = self.commands[:]
            self.commands.clear()
            command_count += len(commands)
            for call, args in commands:
                self._answer_command(call.__name__, args[0], hung)
            self.clock.time += self.settings.report_s / 4
            if (self.clock.time - now) % self.settings.report_s == 0:
                self.report_all(4, silent=hung)
        return HungMachineOutcome(hung, deleted, self.clock.time - now, command_count, tick_s)

    def _answer_command(self, call: str, machine: Any, hung: str) -> None:
        """Answers a command or an inspection, unless the machine hangs."""
        commands = self.machines.commands
        name = machine if call == "_inspect" else machine.name
        number = int(name.removeprefix("vm-"))
        if call == "_inspect":
            reply = None if name == hung else self._worker_report(number, 4)
            anyio.run(self.machines.handle, InspectionReply(name, reply))
            return
        commands.record_sending(machine)
        if name == hung:
            commands.record_failure(machine)
        else:
            anyio.run(self.machines.handle, CommandReply(self._worker_report(number, 4)))
        commands.record_ended(machine)

    def cancel_all(self) -> None:
        """Cancels every job at once, through rows that other controllers wrote."""
        for number in range(self.job_count):
            key = keys.job_key(job_name(number))
            self.store.put(key, {**self.store.rows[key][0], "s": JobState.CANCELLED, "x": int(self.clock.time * 1000)})

    def delete_all(self) -> int:
        """Deletes all machines; returns the number of transactions that remove their rows."""
        names = [machine_name(number) for number in range(self.machine_count)]
        for start in range(0, len(names), 100):
            anyio.run(self.machines.handle, InstancesDeleted(names[start : start + 100]))
        before = len(self.transactions)
        registration = self.machines.registration

        async def unregister() -> None:
            while transaction := registration._removals():
                await self.client.compare_and_swap(transaction, RequestPriority.PROGRESS)

        anyio.run(unregister)
        return len(self.transactions) - before


def main(machines: int) -> None:
    """Prints the time of each phase and the peak memory of the process."""

    def timed(title: str, call: Callable[[], Any]) -> None:
        started = time.perf_counter()
        result = call()
        print(f"{title:34} {time.perf_counter() - started:8.3f} s  {result if result is not None else ''}")

    def commit_and_summarise() -> str:
        commits = world.commit_all()
        sizes = [size for _, size in world.transactions]
        return f"{commits} transactions, the largest {max(sizes, default=0)} bytes, {sum(sizes)} in all"

    def scrape() -> str:
        return f"{len(ask(world, 'GET', '/metrics').body)} bytes"

    world = FleetWorld(machines)
    timed("take-over, all machines heard", world.take_over)
    timed("adoptions stored", commit_and_summarise)
    timed("tick", world.tick)
    timed("tick", world.tick)
    timed("unchanged reports of all machines", lambda: world.report_all(4))
    timed("metrics, the library's import included", scrape)
    timed("metrics", scrape)
    world.cancel_all()
    timed("tick with everything cancelled", world.tick)
    timed("tick with everything cancelled", world.tick)
    print(f"{len(world.commands)} commands")
    timed("all machines deleted", lambda: f"{world.delete_all()} transactions")
    recovery = FleetWorld(machines).recover_with_completions()
    print(
        f"recovered with a completion on each machine: {recovery.seconds:.3f} s, "
        f"{recovery.transactions} transactions, {recovery.changes} changes, {recovery.size_bytes} bytes"
    )
    outcome = FleetWorld(machines).take_over_with_a_hung_machine()
    print(
        f"one machine hung, a cancellation overdue: {len(outcome.deleted)} deleted after {outcome.deleted_after_s} s, "
        f"{outcome.commands} commands, longest tick {outcome.longest_tick_s:.3f} s"
    )
    print(f"memory {resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024:.0f} MB, tests and world included")


if __name__ == "__main__":
    main(int(sys.argv[1]))
