"""Metrics of one controller in the Prometheus text format, computed from its state on each request.

This module is imported on the first request for metrics (`controller.metrics_renderer`), so that a controller that is
not scraped does not spend memory and start-up time on `prometheus_client`. The metrics and alerts are documented for
operators in docs/operations/metrics.md.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator, Mapping
from enum import StrEnum

from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, Metric
from prometheus_client.registry import Collector

from sloeswitch.actors.context import ControllerContext
from sloeswitch.actors.machines import Machines
from sloeswitch.core.machine import Machine
from sloeswitch.core.quota import ResourceAmount, ResourceUsage, team_limit
from sloeswitch.wire import split_task

PREFIX = "sloeswitch_"
# The maximum number of machines that one answer lists by name.
MAX_LISTED_MACHINES = 20


class MachineCondition(StrEnum):
    """Whether a machine can be given tasks, and if not, why; each machine is in exactly one condition."""

    # Its tasks are not yet known after a change of owner.
    UNRECOVERED = "unrecovered"
    # Its lease has expired, or it has not reported since the change of owner; it runs no tasks.
    SILENT = "silent"
    # It reports, but has not confirmed that it receives messages.
    UNREACHABLE = "unreachable"
    # It reports but gets no tasks, because it is draining, surplus or about to be preempted.
    DRAINING = "draining"
    # It reports, receives messages and may be given tasks.
    SCHEDULABLE = "schedulable"


def machine_condition(machine: Machine) -> MachineCondition:
    """The condition of a machine of this controller."""
    if not machine.is_recovered:
        return MachineCondition.UNRECOVERED
    if not machine.reconciled:
        return MachineCondition.SILENT
    if not machine.reachable:
        return MachineCondition.UNREACHABLE
    if machine.draining or machine.surplus or machine.preemption_notice_s is not None:
        return MachineCondition.DRAINING
    return MachineCondition.SCHEDULABLE


class ControllerMetrics(Collector):
    """Collects the metrics of one controller from the state of its actors, without changing that state."""

    def __init__(self, context: ControllerContext, machines: Machines) -> None:
        self._context = context
        self._machines = machines
        self._registry = CollectorRegistry(auto_describe=False)
        self._registry.register(self)

    def render(self) -> bytes:
        """Returns all metrics in the text format."""
        return generate_latest(self._registry)

    def collect(self) -> Iterator[Metric]:
        """Yields the current metrics."""
        yield from self._leadership()
        yield from self._state_service()
        yield from self._shard()
        yield from self._recovery()
        yield from self._cancelled_tasks()
        yield from self._quotas()

    def _leadership(self) -> Iterator[Metric]:
        leadership, replica = self._context.leadership, self._context.replica
        recovered_view = self._machines.membership.recovered_view
        yield _gauge("leader", "Whether this controller may start tasks and store claims.", leadership.is_leader)
        yield _gauge("coordinator", "Whether it writes views and creates machines.", leadership.is_coordinator)
        yield _gauge("view", "The number of the newest view that it has read.", leadership.view.number)
        yield _gauge("recovered_view", "The last view of which it has stored its recovery.", recovered_view)
        yield _gauge(
            "recovery_complete",
            "Whether all members have recovered the newest view.",
            self._context.tables.recovery_complete(),
        )
        yield _gauge("revision", "The revision up to which it has read all rows.", replica.applied_revision)
        yield _gauge(
            "revision_age_seconds",
            "The time since its last linearizable read was sent.",
            self._context.clock.now() - replica.linearizable_at,
        )

    def _state_service(self) -> Iterator[Metric]:
        client = self._context.client
        yield _counters(
            "state_requests",
            "Requests to the state service by the status of the answer; none: no answer.",
            "status",
            client.requests_by_status,
        )
        yield _counters(
            "state_transactions",
            "Transactions by their outcome; unknown ones may be carried out late.",
            "outcome",
            {outcome.name.lower(): count for outcome, count in client.transactions_by_outcome.items()},
        )
        help_text = "How often the state service began not to answer."
        yield CounterMetricFamily(PREFIX + "state_outages", help_text, value=client.outages)
        yield _gauge("state_reachable", "Whether the state service answers this controller.", client.is_reachable)

    def _shard(self) -> Iterator[Metric]:
        registry = self._machines.registry
        machines = registry.machines.values()
        conditions = Counter({str(condition): 0 for condition in MachineCondition})
        conditions.update(str(machine_condition(machine)) for machine in machines)
        yield _gauges("machines", "Machines of this controller by condition.", "condition", conditions)
        tasks = Counter(str(attempt.state) for machine in machines for attempt in machine.attempts.values())
        tasks["foreign"] = sum(len(machine.foreign_attempts) for machine in machines)
        tasks["handed_off"] = sum(mask.bit_count() for mask in registry.handed_off_tasks.values())
        tasks["adopting"] = sum(mask.bit_count() for mask in registry.adopting.values())
        yield _gauges(
            "tasks",
            "Tasks of this controller by state; adopting ones are counted in their state as well.",
            "condition",
            tasks,
        )

    def _recovery(self) -> Iterator[Metric]:
        blockers = self._machines.recovery.blockers()
        waits = {
            "machines": blockers.machines,
            "adoptions": blockers.adoptions,
            "completions": blockers.completions,
        }
        help_text = "What the recovery of the newest view waits for: machines, adopted tasks, found completions."
        yield _gauges("recovery_waits", help_text, "reason", waits)

    def _cancelled_tasks(self) -> Iterator[Metric]:
        waits = self._machines.cancellations.waits(self._context.clock.now())
        family = GaugeMetricFamily(
            PREFIX + "cancelled_task_wait_seconds",
            "Machines on which a cancelled task is or may be: for how long its job has been cancelled.",
            labels=["machine", "job"],
        )
        for wait in waits[:MAX_LISTED_MACHINES]:
            family.add_metric([wait.machine, wait.job], wait.cancelled_s)
        yield family
        help_text = "How many machines there are on which a cancelled task is or may be."
        yield _gauge("cancelled_task_machines", help_text, len(waits))

    def _quotas(self) -> Iterator[Metric]:
        context, quotas = self._context, self._machines.quota
        teams = context.settings.teams
        incarnation_id = context.leadership.incarnation_id
        foreign = self._foreign_usage()
        yield _team_amounts("limit", "The team's limit.", {team.name: team_limit(team) for team in teams.values()})
        yield _team_amounts(
            "allocation",
            "This controller's stored part of the limit.",
            {team: context.tables.quota_allocation(team, incarnation_id) for team in teams},
        )
        yield _team_amounts(
            "usage",
            "What tasks use under this controller's responsibility, handed-off ones included.",
            {team: quotas.usage(team) for team in teams},
        )
        yield _team_amounts(
            "handed_off",
            "What its tasks use on machines that another controller owns now.",
            {team: quotas.handed_off_usage.get(team, ResourceUsage()) for team in teams},
        )
        yield _team_amounts(
            "foreign",
            "What attempts use that are being stopped and that no usage has.",
            {team: foreign.get(team, ResourceUsage()) for team in teams},
        )

    def _foreign_usage(self) -> dict[str, ResourceUsage]:
        """The usage of foreign attempts by team; attempts of unknown jobs are left out."""
        usage: dict[str, ResourceUsage] = {}
        for machine in self._machines.registry.machines.values():
            for key in machine.foreign_attempts:
                job = self._context.tables.jobs.get(split_task(key[0])[0])
                if job is not None:
                    usage.setdefault(job.spec.team, ResourceUsage()).add(job.spec)
        return usage


def _gauge(name: str, help_text: str, value: float) -> Metric:
    return GaugeMetricFamily(PREFIX + name, help_text, value=float(value))


def _gauges(name: str, help_text: str, label: str, values: Mapping[str, float]) -> Metric:
    return _labelled(GaugeMetricFamily(PREFIX + name, help_text, labels=[label]), values)


def _counters(name: str, help_text: str, label: str, values: Mapping[str, int]) -> Metric:
    return _labelled(CounterMetricFamily(PREFIX + name, help_text, labels=[label]), values)


def _labelled(family: GaugeMetricFamily | CounterMetricFamily, values: Mapping[str, float]) -> Metric:
    for key, value in sorted(values.items()):
        family.add_metric([key], value)
    return family


def _team_amounts(name: str, help_text: str, amounts: Mapping[str, ResourceAmount | ResourceUsage]) -> Metric:
    """A metric of cores and GPUs by team."""
    family = GaugeMetricFamily(f"{PREFIX}team_{name}", f"{help_text} In cores and GPUs.", labels=["team", "resource"])
    for team, amount in sorted(amounts.items()):
        family.add_metric([team, "cores"], amount.cores)
        family.add_metric([team, "gpus"], amount.gpus)
    return family
