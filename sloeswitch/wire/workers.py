"""Reports of workers, and commands to them."""

from __future__ import annotations

from enum import StrEnum

from msgspec import Struct

from sloeswitch.wire.codec import encode


class CommandVerb(StrEnum):
    """What a worker is told to do with an attempt of a task; CLEAR removes one that ended from its reports."""

    START = "start"
    KILL = "kill"
    CLEAR = "clear"


class ReportedTask(Struct, rename={"task": "visit", "attempt": "try", "state": "status"}):
    """One attempt of a task in a worker's report.

    The cause says why it ended; `saved` is true if its progress was saved when it was stopped.
    """

    task: str
    attempt: int
    state: str
    cause: str | None = None
    saved: bool | None = None


class WorkerReport(
    Struct,
    rename={
        "machine": "host",
        "type": "build",
        "zone": "district",
        "spot": "loaners",
        "agent_epoch": "shift",
        "sequence": "tally",
        "fencing_token": "baton",
        "preemption_notice_s": "warningS",
        "tasks": "visits",
    },
):
    """A worker's report (POST /agent/beat), and its answer to a direct command or an inspection."""

    machine: str
    address: str
    type: str
    zone: str
    spot: bool
    # The worker's epoch begins at 1 and rises when its lease ends; the sequence rises with each report. Of two reports
    # the one with the larger pair is the newer.
    agent_epoch: int
    sequence: int
    # The highest that the worker has seen; 0 at first.
    fencing_token: int
    # All attempts on the machine, those that ended included until they are cleared.
    tasks: list[ReportedTask]
    # Until the cloud takes the machine away; None: no notice.
    preemption_notice_s: float | None = None


class WorkerCommand(Struct, omit_defaults=True, rename={"task": "visit", "attempt": "try", "grace_s": "windDownS"}):
    """A command to a worker. The grace of a kill is the time in which the task may save its progress."""

    verb: str
    task: str
    attempt: int
    grace_s: float | None = None


class WorkerCommands(
    Struct, omit_defaults=True, rename={"fencing_token": "baton", "commands": "orders", "agent_epoch": "shift"}
):
    """The answer to a report, or a direct command (POST /commands), which names the worker's epoch.

    The worker executes the commands in order, and drops all if the token is lower than the highest it has seen.
    """

    fencing_token: int
    commands: list[WorkerCommand]
    agent_epoch: int | None = None


def redirect_reply(member: str | None) -> bytes:
    """The body of a 421: the controller to which the worker should report, if it is known."""
    return encode({"foreman": member}) if member else b"{}"
