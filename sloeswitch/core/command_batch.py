"""Collects the commands of one message to a worker, up to the size limit of a message."""

from __future__ import annotations

from sloeswitch import wire
from sloeswitch.wire import WorkerCommand

# The part of a message that is left for its other fields: the fencing token and the agent epoch.
ENVELOPE_BYTES = 256
COMMAND_SEPARATOR_BYTES = 1


class CommandBatch:
    """The commands of one message, in the order in which the worker executes them.

    A message over the limit is dropped by its receiver, and would be repeated without end. Commands for which there is
    no space are left to a later message.

    Attributes:
        commands: The commands that were added.
    """

    def __init__(self) -> None:
        self.commands: list[WorkerCommand] = []
        self._bytes_left = wire.MAX_BODY_BYTES - ENVELOPE_BYTES

    def add(self, command: WorkerCommand) -> bool:
        """Adds a command if there is space for it; returns whether it was added."""
        size_bytes = len(wire.encode(command)) + COMMAND_SEPARATOR_BYTES
        if size_bytes > self._bytes_left:
            return False
        self._bytes_left -= size_bytes
        self.commands.append(command)
        return True
