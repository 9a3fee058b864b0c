"""The messages of the machines actor, and the interfaces through which it uses the autoscaler and admission."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Protocol, TypeAlias

from sloeswitch import wire
from sloeswitch.actors.base import ActorRequest
from sloeswitch.actors.commands import CommandReply, InspectionReply
from sloeswitch.http import Answer


@dataclass
class HeartbeatRequest(ActorRequest[Answer]):
    """A machine's heartbeat; the reply is the HTTP answer to it."""

    report: wire.WorkerReport = field(kw_only=True)
    # Whether this heartbeat shows that the machine received this controller's previous answer in time.
    last_answer_received: bool = False


@dataclass
class TickRequest(ActorRequest[None]):
    """Requests a tick: the periodic work that no heartbeat triggers. The reply is None."""


@dataclass
class InstancesDeleted:
    """The cloud confirmed that these machines are deleted, with all tasks on them."""

    machines: list[str]


MachinesMessage: TypeAlias = HeartbeatRequest | TickRequest | CommandReply | InspectionReply | InstancesDeleted


class InstanceTerminator(Protocol):
    """Deletes machines at the cloud; the machines actor then receives InstancesDeleted."""

    def request_termination(self, machine: str, by_coordinator: bool = False, urgent: bool = False) -> bool:
        """Requests the deletion of a machine.

        Args:
            machine: The machine's name.
            by_coordinator: Whether the coordinator deletes it, regardless of its owner; for machines found in the
                cloud's list.
            urgent: Whether to delete it also without leadership: while this controller may only answer machines, or
                while no controller may answer them.

        Returns:
            False if the deletion was already requested with at least this urgency.
        """


class JobAdmission(Protocol):
    """Marks the jobs that admission keeps out of the queue for now."""

    def apply(self) -> None:
        """Updates `Job.deferred` from the tables."""
