"""The commands of one message to a worker: which attempts to clear, to stop and to start."""

from __future__ import annotations

from sloeswitch import wire
from sloeswitch.core.machine import Attempt, AttemptKey, Machine
from sloeswitch.core.records import JobState
from sloeswitch.core.tables import Tables
from sloeswitch.wire import CommandVerb, WorkerCommand, split_task

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


def heartbeat_commands(machine: Machine, tables: Tables, heartbeat_sequence: int) -> list[WorkerCommand]:
    """The commands for the answer to a heartbeat; records which start commands are sent.

    Those that do not fit one message are sent with a later one; starts come last.

    Args:
        machine: The machine.
        tables: The replicated tables. The worker is asked to clear a completion only once it is stored there.
        heartbeat_sequence: The sequence number of the heartbeat.
    """
    batch = CommandBatch()
    for key, is_completion in machine.ended_attempts.items():
        if not is_completion or _is_stored_done(tables, key):
            batch.add(WorkerCommand(CommandVerb.CLEAR, key.task, key.number))
    _add_kills(batch, machine)
    if machine.reachable:
        _add_starts(batch, machine, heartbeat_sequence)
    return batch.commands


def direct_commands(machine: Machine) -> list[WorkerCommand]:
    """The commands for a direct message: only kills, because the worker could execute a start minutes late."""
    batch = CommandBatch()
    _add_kills(batch, machine)
    return batch.commands


def _add_kills(batch: CommandBatch, machine: Machine) -> None:
    for key in machine.foreign_attempts:
        batch.add(WorkerCommand(CommandVerb.KILL, key.task, key.number, 0.0))
    for attempt in machine.attempts.values():
        if attempt.kill_grace_s is not None:
            batch.add(WorkerCommand(CommandVerb.KILL, attempt.name, attempt.number, attempt.kill_grace_s))


def _add_starts(batch: CommandBatch, machine: Machine, heartbeat_sequence: int) -> None:
    for attempt in machine.attempts.values():
        if _is_to_start(attempt) and batch.add(WorkerCommand(CommandVerb.START, attempt.name, attempt.number)):
            attempt.sent_sequence = heartbeat_sequence


def _is_to_start(attempt: Attempt) -> bool:
    return attempt.kill_grace_s is None and not attempt.reported


def _is_stored_done(tables: Tables, key: AttemptKey) -> bool:
    """Whether the task's completion is stored, or is not needed because its job is no longer live."""
    job, index = split_task(key.task)
    record = tables.jobs.get(job)
    return record is None or record.status != JobState.LIVE or bool(record.progress.done >> index & 1)
