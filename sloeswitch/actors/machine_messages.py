"""Messages that the machines actor receives, and the interfaces it needs of the autoscaler and of admission."""

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
    # Whether the machine is seen to have received our last answer to it, a short while ago.
    last_answer_received: bool = False


@dataclass
class TickRequest(ActorRequest[None]):
    """Run the periodic work: what no heartbeat brings up. The reply is None."""


@dataclass
class InstancesDeleted:
    """The cloud confirmed that these machines, and all on them, are gone."""

    machines: list[str]


MachinesMessage: TypeAlias = HeartbeatRequest | TickRequest | CommandReply | InspectionReply | InstancesDeleted


class InstanceTerminator(Protocol):
    """Has machines deleted at the cloud; InstancesDeleted follows."""

    def scale_in(self, machine: str, listed: bool = False, pressing: bool = False) -> bool:
        """Requests the deletion of a machine.

        Args:
            machine: Its name.
            listed: It was found in the cloud's list, whoever owns it.
            pressing: Delete it also while this controller may only answer machines, or nobody may.

        Returns:
            Whether its deletion was not under way yet.
        """


class JobAdmission(Protocol):
    """Marks jobs that may not enter the queue yet."""

    def apply(self) -> None:
        """Brings `Job.deferred` up to date with the tables."""
