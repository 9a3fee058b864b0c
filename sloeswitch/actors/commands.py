"""Direct commands: what machines are told, and asked, between their reports.

A direct command stops tasks under the present token; it never starts one, since it could be carried out minutes late.
An inspection only asks what a machine holds.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

import anyio

from sloeswitch import wire
from sloeswitch.actors.base import InboxFullError
from sloeswitch.actors.leadership import Leadership
from sloeswitch.core.machine_registry import Machine, MachineRegistry
from sloeswitch.core.tables import Tables
from sloeswitch.http_client import Client, HttpTransportError
from sloeswitch.settings import Address, Settings

log = logging.getLogger("machines")

# The part of the sockets that may carry direct commands: a controller that takes over hundreds of machines asks each
# of them, and sockets are for workers first.
SOCKETS_SHARE = 1 / 8


@dataclass
class CommandReply:
    """A machine's answer to a direct command."""

    report: wire.WorkerReport


@dataclass
class InspectionReply:
    """What a machine told that was asked for its tasks only; None when it did not answer."""

    machine: str
    report: wire.WorkerReport | None


class Spawn(Protocol):
    """Starts a call beside the caller."""

    def __call__(self, call: Callable[..., Any], *args: Any) -> None: ...


class CommandSender:
    """Owns the direct commands that wait or are under way, and how often each machine failed to answer one."""

    def __init__(
        self,
        settings: Settings,
        leadership: Leadership,
        registry: MachineRegistry,
        tables: Tables,
        spawn: Spawn,
        tell: Callable[[CommandReply | InspectionReply], None],
        now: Callable[[], float],
    ) -> None:
        self.settings = settings
        self.leadership = leadership
        self.registry = registry
        self.tables = tables
        self.spawn = spawn
        self.deliver = tell
        self.now = now
        self.failures: dict[str, int] = {}
        self.probe_at: dict[str, float] = {}
        self.timeout_s = min(2.0, settings.lease_s / 6)
        self._sockets = anyio.Semaphore(max(1, int(settings.fd_limit * SOCKETS_SHARE)))
        # Machines for which a command waits for a socket: it will carry all that is to be told by then.
        self._waiting: set[str] = set()

    def send(self, machine: Machine) -> None:
        """Tells the machine what is to be stopped. Guards against a command for each task: a wave of cancellations on
        thousands of machines would make one of each, and memory would not hold them."""
        if machine.name not in self._waiting:
            self._waiting.add(machine.name)
            self.spawn(self._command, machine)

    def probe(self, machine: Machine, now: float) -> None:
        """Asks a machine that does not report; for a machine just taken over this also fences it."""
        if now < self.probe_at.get(machine.name, 0.0) or not machine.address:
            return
        self.probe_at[machine.name] = now + self.settings.lease_s
        self.send(machine)

    def inspect(self, name: str, address: str) -> None:
        """Asks a machine what it holds. That needs no permission: it changes nothing there."""
        self.spawn(self._inspect, name, address)

    def record_reply(self, machine: str) -> None:
        """The machine was heard: earlier failures count no more."""
        self.failures.pop(machine, None)

    def forget(self, machine: str) -> None:
        """The machine is gone."""
        self.failures.pop(machine, None)
        self.probe_at.pop(machine, None)

    def record_begun(self, machine: Machine) -> None:
        """A command is being made up: what is decided from here on needs another one."""
        self._waiting.discard(machine.name)

    def record_failure(self, machine: Machine) -> None:
        """A command found no answer."""
        self.failures[machine.name] = self.failures.get(machine.name, 0) + 1

    def record_ended(self, machine: Machine) -> None:
        """A command is over, answered or not."""
        if self.registry.machines.get(machine.name) is machine:
            self.probe_at[machine.name] = self.now() + self.settings.report_s / 4

    async def _command(self, machine: Machine) -> None:
        """Sends what is to be stopped under the present token."""
        try:
            async with self._sockets:
                self.record_begun(machine)
                await self._send_commands(machine)
        except HttpTransportError:
            self.record_failure(machine)
        except (wire.MalformedError, ValueError, InboxFullError) as error:
            log.error("%s answered a command with %s", machine.name, error)
        finally:
            self.record_begun(machine)
            self.record_ended(machine)

    async def _send_commands(self, machine: Machine) -> None:
        session = machine.agent_epoch or 1
        for _ in range(2):
            if not self.leadership.may_answer_workers or self.registry.machines.get(machine.name) is not machine:
                return
            orders = self.registry.commands(machine, self.tables, None) if machine.reconciled else []
            body = wire.encode(wire.WorkerCommands(self.leadership.view.number, orders, session))
            reply = await self._client(machine.address).request("POST", "/commands", body, self.timeout_s)
            if reply.status not in (200, 409):
                return
            report = wire.decode(reply.body, wire.WorkerReport)
            self.deliver(CommandReply(report))
            if reply.status == 200 or report.agent_epoch == session:
                return
            session = report.agent_epoch

    async def _inspect(self, name: str, address: str) -> None:
        report: wire.WorkerReport | None = None
        try:
            async with self._sockets:
                reply = await self._client(address).request("GET", "/inspect", None, self.timeout_s)
            if reply.status == 200:
                report = wire.decode(reply.body, wire.WorkerReport)
        except HttpTransportError:
            pass
        except (wire.MalformedError, ValueError) as error:
            log.error("%s answered an inspection with %s", name, error)
        try:
            self.deliver(InspectionReply(name, report))
        except InboxFullError:
            log.debug("no place for what %s told", name)

    @staticmethod
    def _client(address: str) -> Client:
        """Raises ValueError for what is no address."""
        host, _, port = address.rpartition(":")
        return Client(Address(host, int(port)), max_idle_connections=0)
