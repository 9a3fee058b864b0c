"""What all actors of one controller share."""

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
    """The settings, the state service, its replica, the leadership and the clock of one controller."""

    settings: Settings
    client: StateClient
    replica: Replica
    leadership: Leadership
    clock: Clock

    @property
    def tables(self) -> Tables:
        """The replicated tables: written by the replica only."""
        return self.replica.tables
