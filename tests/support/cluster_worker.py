"""A fake worker that follows the worker protocol."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from sloeswitch import wire
from sloeswitch.actors.machine_messages import HeartbeatRequest

if TYPE_CHECKING:
    from tests.support.cluster import World


CORES = 8.0


class Worker:
    """A worker of eight cores that follows the protocol and needs no time to fetch images."""

    def __init__(self, world: World, name: str, kind: str = "small", zone: str = "a", spot: bool = True) -> None:
        self.world = world
        self.name = name
        self.kind = kind
        self.zone = zone
        self.spot = spot
        self.target = world.members[0]
        self.agent_epoch, self.report_sequence, self.fencing_token = 1, 0, 0
        self.tasks: dict[tuple[str, int], tuple[str, str | None]] = {}
        self.completed_tasks: set[str] = set()
        self.lease_renewed_at = world.clock.time
        self.answers_in_flight: list[tuple[float, float, int, bytes]] = []
        self.last_answer_received = False
        self.report_copies: list[wire.WorkerReport] = []
        self.hung_until = self.deaf_until = self.mute_until = float("-inf")

    @property
    def hung(self) -> bool:
        """Whether it does nothing at all; its tasks stay on it until it resumes."""
        return self.world.clock.time < self.hung_until

    @property
    def deaf(self) -> bool:
        """Whether it receives neither answers nor direct commands."""
        return self.world.clock.time < self.deaf_until

    @property
    def mute(self) -> bool:
        """Whether its reports reach no controller."""
        return self.world.clock.time < self.mute_until

    def command(self, message: wire.WorkerCommands, late: bool = False) -> None:
        """Executes a direct command unless its fencing token is outdated or its agent epoch is another."""
        if self.hung or message.fencing_token < self.fencing_token or message.agent_epoch != self.agent_epoch:
            return
        self.fencing_token = message.fencing_token
        self.world.event_counts["late command" if late else "command"] += 1
        for command in message.commands:
            self.execute(command)

    @property
    def lease_expired(self) -> bool:
        return self.world.clock.time - self.lease_renewed_at > 10.0

    def expire(self) -> None:
        if self.lease_expired:
            self.tasks.clear()
            self.agent_epoch += 1
            self.lease_renewed_at = self.world.clock.time

    def report(self) -> wire.WorkerReport:
        self.report_sequence += 1
        items = [wire.ReportedTask(task, number, state, cause) for (task, number), (state, cause) in self.tasks.items()]
        return wire.WorkerReport(
            self.name,
            "127.0.0.1:9000",
            self.kind,
            self.zone,
            self.spot,
            self.agent_epoch,
            self.report_sequence,
            self.fencing_token,
            items,
        )

    def heartbeat(self) -> None:
        """Sends a report to the controller that the worker takes for its owner; report and answer may be lost or late.

        After a redirect the next report goes to the named controller, after a failure to a random one.
        """
        world, rng, sent = self.world, self.world.rng, self.world.clock.time
        if any(sent - earlier <= 4.0 for _, earlier, _, _ in self.answers_in_flight):
            return  # one report in flight at a time, with a timeout of 4 s
        self.answers_in_flight.clear()
        report = self.report()
        if self.mute:
            self.target = rng.choice(world.members)
            return
        self.send_copies(report)
        if rng.random() < 0.05:
            return  # the report is lost
        message = HeartbeatRequest(report=report, last_answer_received=self.last_answer_received)
        if not world.deliver(self.target, message):
            self.last_answer_received = False
            self.target = rng.choice(world.members)
            return
        answer, self.last_answer_received = message.answer, False
        world.answer_counts[str(answer.status)] += 1
        world.recorder.record("heartbeat", self.name, self.target, answer.status, answer.body)
        if answer.status == 421:
            named_owner = wire.decode(answer.body, dict[str, Any]).get("foreman")
            self.target = named_owner or rng.choice(world.members)
        elif answer.status != 200:
            self.target = rng.choice(world.members)
        elif rng.random() > 0.05 and not self.deaf:
            delay = 0.0 if rng.random() < 0.8 else 5 * rng.random()
            self.answers_in_flight.append((world.clock.time + delay, sent, self.agent_epoch, answer.body))

    def send_copies(self, report: wire.WorkerReport) -> None:
        """Keeps copies of some reports and delivers them later to a random controller."""
        world, rng = self.world, self.world.rng
        if rng.random() < 0.1:
            self.report_copies.append(report)
        if self.report_copies and rng.random() < 0.1:
            copy = self.report_copies.pop(rng.randrange(len(self.report_copies)))
            message = HeartbeatRequest(report=copy, last_answer_received=False)
            if world.deliver(rng.choice(world.members), message):
                world.recorder.record("heartbeat copy", self.name, message.answer.status, message.answer.body)

    def receive(self) -> None:
        now = self.world.clock.time
        for at, sent, agent_epoch, body in [item for item in self.answers_in_flight if item[0] <= now]:
            self.answers_in_flight.remove((at, sent, agent_epoch, body))
            message = wire.decode(body, wire.WorkerCommands)
            if now - sent > 4.0 or agent_epoch != self.agent_epoch or message.fencing_token < self.fencing_token:
                continue
            self.fencing_token = message.fencing_token
            self.lease_renewed_at = max(self.lease_renewed_at, sent)
            self.last_answer_received = True
            for command in message.commands:
                self.execute(command)

    def execute(self, command: wire.WorkerCommand) -> None:
        key = (command.task, command.attempt)
        if command.verb == "start" and key not in self.tasks:
            live = [task for (task, _), (state, _) in self.tasks.items() if state != "ended"]
            if command.task in live:
                self.tasks[key] = ("ended", "busy")
            elif sum(self.world.specs[task.partition("/")[0]].cores for task in [*live, command.task]) > CORES:
                self.tasks[key] = ("ended", "no_room")
            else:
                self.world.check_start(self, command.task)
                self.tasks[key] = ("running", None)
        elif command.verb == "kill" and self.tasks.get(key, ("ended", None))[0] != "ended":
            self.tasks[key] = ("ended", "halted")
        elif command.verb == "clear":
            self.tasks.pop(key, None)

    def work(self) -> None:
        for key, (state, _cause) in list(self.tasks.items()):
            if state == "running" and self.world.rng.random() < self.world.task_end_probability:
                self.tasks[key] = ("ended", "done")
                self.world.completed_tasks.add(key[0])
