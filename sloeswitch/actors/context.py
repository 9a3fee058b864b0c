"""What all actors of one controller share, passed as one argument."""

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

    Built once by the controller; nobody replaces a part of it.
    """

    settings: Settings
    # Writes to the state service, within this controller's share of its rates.
    client: StateClient
    # A copy of all stored rows, kept up to date by watches and reads.
    replica: Replica
    # Written by the membership actor only.
    leadership: Leadership
    clock: Clock

    @property
    def tables(self) -> Tables:
        """The replicated tables: written by the replica only."""
        return self.replica.tables
