"""Direct commands and inspections: requests that a controller sends to machines between their heartbeats.

A direct command stops tasks under the present fencing token; it never starts one, since it could be carried out minutes
late. An inspection only asks what a machine holds. Called by the modules of the machines actor; replies are delivered
to it as messages.
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
from sloeswitch.http_client import Client, HttpTransportError
from sloeswitch.settings import Address

log = logging.getLogger("machines")

# The part of this process's sockets that may carry direct commands and inspections: a controller that takes over
# hundreds of machines asks each of them, and sockets are for workers first.
SOCKETS_SHARE = 1 / 8


@dataclass
class CommandReply:
    """A machine's answer to a direct command: its report, as in a heartbeat."""

    report: wire.WorkerReport


@dataclass
class InspectionReply:
    """The report of a machine that was inspected; None when it did not answer."""

    machine: str
    report: wire.WorkerReport | None


class Spawn(Protocol):
    """Starts a coroutine that runs concurrently with the caller."""

    def __call__(self, call: Callable[..., Coroutine[Any, Any, None]], *args: object) -> None:
        """Calls `call` with the arguments, without waiting for it."""


class CommandSender:
    """Sends direct commands and inspections, within a share of the sockets.

    Owns the direct commands that wait or are under way, and how often each machine failed to answer one.
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
        self.tables = context.tables
        self.now = context.clock.now
        self.registry = registry
        self.spawn = spawn
        self.deliver = deliver
        # Commands in a row that found no answer, by machine.
        self.failures: dict[str, int] = {}
        # When a machine may be probed next.
        self.probe_at: dict[str, float] = {}
        self.timeout_s = min(2.0, settings.lease_s / 6)
        self._sockets = anyio.Semaphore(max(1, int(settings.fd_limit * SOCKETS_SHARE)))
        # Machines for which a command waits for a socket: it will carry all that is to be stopped by then.
        self._waiting: set[str] = set()
        # When the content of the last command to a machine was fixed, when one failed last, and when a machine answered
        # one last.
        self._begun_at: dict[str, float] = {}
        self._failed_at: dict[str, float] = {}
        self._replied_at: dict[str, float] = {}
        # Machines whose invalid answers were logged.
        self._invalid_repliers: set[str] = set()

    def send(self, machine: Machine) -> None:
        """Sends the machine what is to be stopped on it, unless a command for it waits already.

        Guards against a command for each task: a wave of cancellations on thousands of machines would make one of each,
        and memory would not hold them.
        """
        if machine.name not in self._waiting:
            self._waiting.add(machine.name)
            self.spawn(self._command, machine)

    def kill(self, machine: Machine, attempt: Attempt, grace_s: float) -> None:
        """Stops a task on a machine; it has `grace_s` seconds to save."""
        if self.registry.mark_for_kill(machine, attempt, grace_s) and machine.reconciled:
            self.send(machine)

    def probe(self, machine: Machine, now: float) -> None:
        """Sends a command to a machine that does not report, at most once a lease while it does not answer.

        This also fences a machine that was just taken over: it accepts no older token afterwards.
        """
        if now < self.probe_at.get(machine.name, 0.0) or not machine.address:
            return
        self.probe_at[machine.name] = now + self.settings.lease_s
        self.send(machine)

    def inspect(self, name: str, address: str, is_wanted: Callable[[str], bool]) -> None:
        """Asks a machine what it holds, if that is still wanted once there is a socket for it.

        That needs no leadership: it changes nothing there.
        """
        self.spawn(self._inspect, name, address, is_wanted)

    def awaits_first_answer(self, machine: Machine, now: float) -> bool:
        """Whether a command waits for a socket or for its answer, and none has failed since the machine is ours."""
        name = machine.name
        is_open = name in self._waiting or now < self._begun_at.get(name, float("-inf")) + self.timeout_s
        return is_open and self._failed_at.get(name, float("-inf")) < machine.owned_since

    def record_reply(self, machine: str) -> None:
        """The machine reported: earlier failures count no more."""
        self.failures.pop(machine, None)

    def record_alive(self, machine: str) -> None:
        """The machine answered a command, whatever its answer is worth: it does not hang."""
        self._replied_at[machine] = self.now()

    def replied_at(self, machine: str) -> float:
        """When the machine answered a command last, in seconds of the clock."""
        return self._replied_at.get(machine, float("-inf"))

    def forget(self, machine: str) -> None:
        """The machine is gone."""
        self.failures.pop(machine, None)
        self.probe_at.pop(machine, None)
        self._begun_at.pop(machine, None)
        self._failed_at.pop(machine, None)
        self._replied_at.pop(machine, None)
        self._invalid_repliers.discard(machine)

    def record_begun(self, machine: Machine) -> None:
        """The content of a command is being fixed: what is decided from here on needs another one."""
        self._waiting.discard(machine.name)
        self._begun_at[machine.name] = self.now()

    def record_failure(self, machine: Machine) -> None:
        """A command found no answer."""
        self.failures[machine.name] = self.failures.get(machine.name, 0) + 1
        self._failed_at[machine.name] = self.now()

    def record_ended(self, machine: Machine) -> None:
        """A command is over, answered or not; a machine that was released meanwhile is probed anew if it comes back."""
        self._waiting.discard(machine.name)
        if machine.name in self.registry.machines:
            self.probe_at[machine.name] = self.now() + self.settings.report_s / 4
        else:
            self.probe_at.pop(machine.name, None)

    async def _command(self, machine: Machine) -> None:
        """Sends one command once there is a socket for it, and records how it went."""
        try:
            async with self._sockets:
                self.record_begun(machine)
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
        """Sends what is to be stopped under the present token.

        Sent once more when the answer names another agent epoch: a machine executes only what bears its own (protocol,
        "Commands").
        """
        agent_epoch = machine.agent_epoch or 1
        for _ in range(2):
            if not self.leadership.may_answer_workers or self.registry.machines.get(machine.name) is not machine:
                return
            commands = self.registry.commands(machine, self.tables, None) if machine.reconciled else []
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
            # It does not hang, and says nothing of what it holds.
            self._log_invalid_answer(name, "inspection", error)
            return
        try:
            self.deliver(InspectionReply(name, report))
        except InboxFullError:
            log.debug("inspection reply dropped: machine=%s reason=inbox-full", name)

    def _log_invalid_answer(self, machine: str, request: str, error: Exception) -> None:
        """Once for each machine: a broken one says the same each time."""
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
