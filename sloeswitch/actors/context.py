"""The objects that all actors of one controller share, passed as one argument."""

from __future__ import annotations

from dataclasses import dataclass

from sloeswitch.actors.leadership import Leadership
from sloeswitch.clock import Clock
from sloeswitch.core.tables import Tables
from sloeswitch.replica import Replica
from sloeswitch.settings import Settings
from sloeswitch.state_client import StateClient


@dataclass(frozen=True)
class ControllerContext:
    """The settings, the state service, its replica, the leadership and the clock of one controller.

    Created once by the controller; its fields never change.
    """

    settings: Settings
    # Sends requests to the state service, within this controller's share of the rate limits.
    client: StateClient
    # A copy of all stored rows, updated by watches and reads.
    replica: Replica
    # Changed by the membership actor only.
    leadership: Leadership
    clock: Clock

    @property
    def tables(self) -> Tables:
        """The replicated tables, which only the replica changes."""
        return self.replica.tables
