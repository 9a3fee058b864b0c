"""Direct commands and inspections: requests that a controller sends to machines between their heartbeats.

A direct command stops tasks under the current fencing token. It never starts a task, because the worker could execute
it minutes late. An inspection only asks which tasks a machine has. The modules of the machines actor call this module;
replies are delivered to that actor as messages.
"""

from __future__ import annotations

import logging
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from typing import Any, Protocol

import anyio

from sloeswitch import wire
from sloeswitch.actors.base import InboxFullError
from sloeswitch.actors.context import ControllerContext
from sloeswitch.core.machine import Attempt, Machine
from sloeswitch.core.machine_registry import MachineRegistry
from sloeswitch.core.worker_commands import direct_commands
from sloeswitch.http_client import Client, HttpTransportError
from sloeswitch.settings import Address

log = logging.getLogger("machines")

# The share of this process's sockets that direct commands and inspections may use. A controller that takes over
# hundreds of machines probes each of them, and most sockets must stay available for workers' heartbeats.
SOCKETS_SHARE = 1 / 8


@dataclass
class CommandReply:
    """A machine's answer to a direct command: the same report as in a heartbeat."""

    report: wire.WorkerReport


@dataclass
class InspectionReply:
    """The report of an inspected machine; None if it did not answer, or answered with a status other than 200."""

    machine: str
    report: wire.WorkerReport | None


class Spawn(Protocol):
    """Starts a coroutine that runs concurrently with the caller."""

    def __call__(self, call: Callable[..., Coroutine[Any, Any, None]], *args: object) -> None:
        """Starts `call` with the arguments and returns without waiting for it."""


class CommandSender:
    """Sends direct commands and inspections, limited to a share of the sockets.

    Owns the direct commands that are queued or in flight, and the number of failures of each machine.
    """

    def __init__(
        self,
        context: ControllerContext,
        registry: MachineRegistry,
        spawn: Spawn,
        deliver: Callable[[CommandReply | InspectionReply], None],
    ) -> None:
        settings = context.settings
        self.settings = settings
        self.leadership = context.leadership
        self.now = context.clock.now
        self.registry = registry
        self.spawn = spawn
        self.deliver = deliver
        # By machine, the number of consecutive commands without an answer.
        self.failures: dict[str, int] = {}
        # By machine, the time before which it is not probed again, in seconds on the monotonic clock.
        self.probe_at: dict[str, float] = {}
        self.timeout_s = min(2.0, settings.lease_s / 6)
        self._sockets = anyio.Semaphore(max(1, int(settings.fd_limit * SOCKETS_SHARE)))
        # Machines with a command that waits for a socket. Its content is determined only once it has one.
        self._queued: set[str] = set()
        # By machine: when the content of the last command was determined, when a command last failed, and when the
        # machine last answered one. All in seconds on the monotonic clock.
        self._sent_at: dict[str, float] = {}
        self._failed_at: dict[str, float] = {}
        self._replied_at: dict[str, float] = {}
        # Machines with an invalid answer that was logged.
        self._invalid_repliers: set[str] = set()

    def send(self, machine: Machine) -> None:
        """Sends the machine the list of attempts to stop, unless a command for it is queued already.

        A queued command covers everything that is decided before it is sent. One command per task would exhaust the
        memory when many jobs on thousands of machines are cancelled.
        """
        if machine.name not in self._queued:
            self._queued.add(machine.name)
            self.spawn(self._command, machine)

    def kill(self, machine: Machine, attempt: Attempt, grace_s: float) -> None:
        """Stops a task on a machine; the task has `grace_s` seconds to save its state."""
        if self.registry.mark_for_kill(machine, attempt, grace_s) and machine.reconciled:
            self.send(machine)

    def probe(self, machine: Machine, now: float) -> None:
        """Sends a command to a machine that does not report, unless it is too early to probe the machine again.

        The next probe is allowed a quarter of a report interval after the command has ended, or after a worker lease if
        it has not ended by then. A probe also fences a machine that was just taken over: from then on it rejects
        commands with an older token.
        """
        if now < self.probe_at.get(machine.name, 0.0) or not machine.address:
            return
        self.probe_at[machine.name] = now + self.settings.lease_s
        self.send(machine)

    def inspect(self, name: str, address: str, is_wanted: Callable[[str], bool]) -> None:
        """Asks a machine which tasks it has, if `is_wanted` still returns True once a socket is available.

        Inspections do not require leadership, because they change nothing on the machine.
        """
        self.spawn(self._inspect, name, address, is_wanted)

    def awaits_first_answer(self, machine: Machine, now: float) -> bool:
        """Whether a command is queued or in flight and none has failed since this controller became the owner."""
        name = machine.name
        is_open = name in self._queued or now < self._sent_at.get(name, float("-inf")) + self.timeout_s
        return is_open and self._failed_at.get(name, float("-inf")) < machine.owned_since

    def reset_failures(self, machine: str) -> None:
        """Resets the failure count of a machine that reported."""
        self.failures.pop(machine, None)

    def record_reply_received(self, machine: str) -> None:
        """Records that the machine answered a command; even an invalid answer shows that it does not hang."""
        self._replied_at[machine] = self.now()

    def replied_at(self, machine: str) -> float:
        """When the machine last answered a command, in seconds on the monotonic clock."""
        return self._replied_at.get(machine, float("-inf"))

    def forget(self, machine: str) -> None:
        """Drops the state of a deleted machine."""
        self.failures.pop(machine, None)
        self.probe_at.pop(machine, None)
        self._sent_at.pop(machine, None)
        self._failed_at.pop(machine, None)
        self._replied_at.pop(machine, None)
        self._invalid_repliers.discard(machine)

    def record_sending(self, machine: Machine) -> None:
        """Records that the content of a command is being determined; later decisions need another command."""
        self._queued.discard(machine.name)
        self._sent_at[machine.name] = self.now()

    def record_failure(self, machine: Machine) -> None:
        """Records that a command got no answer."""
        self.failures[machine.name] = self.failures.get(machine.name, 0) + 1
        self._failed_at[machine.name] = self.now()

    def record_ended(self, machine: Machine) -> None:
        """Records that a command ended, with or without an answer, and sets when the machine may be probed again.

        A machine that this controller no longer owns may be probed at once when this controller owns it again.
        """
        self._queued.discard(machine.name)
        if machine.name in self.registry.machines:
            self.probe_at[machine.name] = self.now() + self.settings.report_s / 4
        else:
            self.probe_at.pop(machine.name, None)

    async def _command(self, machine: Machine) -> None:
        """Sends one command once a socket is available, and records the result."""
        try:
            async with self._sockets:
                self.record_sending(machine)
                await self._send_commands(machine)
        except HttpTransportError:
            self.record_failure(machine)
        except InboxFullError:
            log.debug("command reply dropped: machine=%s reason=inbox-full", machine.name)
        except (wire.MalformedError, ValueError) as error:
            self._log_invalid_answer(machine.name, "command", error)
        finally:
            self.record_ended(machine)

    async def _send_commands(self, machine: Machine) -> None:
        """Sends the list of attempts to stop, with the current fencing token.

        Sends it a second time if the answer contains another agent epoch, because a machine executes only commands with
        its own epoch (protocol, "Commands").
        """
        agent_epoch = machine.agent_epoch or 1
        for _ in range(2):
            if not self.leadership.may_answer_workers or self.registry.machines.get(machine.name) is not machine:
                return
            commands = direct_commands(machine) if machine.reconciled else []
            body = wire.encode(wire.WorkerCommands(self.leadership.view.number, commands, agent_epoch))
            reply = await self._client(machine.address).request("POST", "/commands", body, self.timeout_s)
            if reply.status not in (200, 409):
                return
            report = wire.decode(reply.body, wire.WorkerReport)
            self.deliver(CommandReply(report))
            if reply.status == 200 or report.agent_epoch == agent_epoch:
                return
            agent_epoch = report.agent_epoch

    async def _inspect(self, name: str, address: str, is_wanted: Callable[[str], bool] = lambda _name: True) -> None:
        report: wire.WorkerReport | None = None
        try:
            async with self._sockets:
                if not is_wanted(name):
                    return
                reply = await self._client(address).request("GET", "/inspect", None, self.timeout_s)
            if reply.status == 200:
                report = wire.decode(reply.body, wire.WorkerReport)
        except HttpTransportError:
            pass
        except (wire.MalformedError, ValueError) as error:
            # The machine answers, so it does not hang, but its tasks are unknown: no reply is delivered.
            self._log_invalid_answer(name, "inspection", error)
            return
        try:
            self.deliver(InspectionReply(name, report))
        except InboxFullError:
            log.debug("inspection reply dropped: machine=%s reason=inbox-full", name)

    def _log_invalid_answer(self, machine: str, request: str, error: Exception) -> None:
        """Logs an invalid answer once per machine, because a faulty machine repeats it."""
        if machine not in self._invalid_repliers:
            self._invalid_repliers.add(machine)
            log.error("invalid answer: machine=%s request=%s error=%s", machine, request, error)

    @staticmethod
    def _client(address: str) -> Client:
        """A client for one request.

        Raises:
            ValueError: The address is not HOST:PORT.
        """
        host, _, port = address.rpartition(":")
        return Client(Address(host, int(port)), max_idle_connections=0)
