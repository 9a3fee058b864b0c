"""Controllers that read their snapshots from a state service with a rate limit, after a crash."""

from __future__ import annotations

import random
import sys
from http import HTTPStatus
from itertools import pairwise

import anyio
import pytest
from anyio.abc import TaskGroup

from sloeswitch import wire
from sloeswitch.actors.membership import RENEWALS_PER_LEASE
from sloeswitch.core import keys
from sloeswitch.core.tables import Tables
from sloeswitch.rate_budget import RequestPriority
from sloeswitch.replica import Replica
from sloeswitch.settings import parse
from sloeswitch.state_client import StateClient
from tests.conftest import SETTINGS, Store
from tests.support.rate_limited_state import ANSWER_S, RateLimitedState, connect
from tests.support.seeds import run_seeds
from tests.support.single_controller import World
from tests.support.virtual_time import run_in_virtual_time

Replicas = list[Replica]
RATE_RPS = 60.0
LIMITED = parse(SETTINGS.replace("rps = 100.0", f"rps = {RATE_RPS}").replace("count = 2", "count = 3"))
# The pages of two days of finished jobs.
PAGES = 83
ROWS_PER_PAGE = 4
# A job about which no question is answered for this long counts as forgotten.
FORGOTTEN_AFTER_S = 75.0


def finished_jobs() -> list[wire.StoredRow]:
    return [
        wire.StoredRow(keys.job_key(f"wk-{number:06d}"), {"s": "done", "n": 36, "t": number}, number)
        for number in range(1, PAGES * ROWS_PER_PAGE + 1)
    ]


def start_replicas(group: TaskGroup, service: RateLimitedState, count: int) -> list[Replica]:
    replicas = [Replica(connect(service, LIMITED), Tables(), anyio.current_time) for _ in range(count)]
    for replica in replicas:
        replica.start(group)
    return replicas


async def load_replicas(controllers: int, apart_s: float, outage_s: float = 0.0) -> tuple[RateLimitedState, Replicas]:
    """Starts controllers one after the other, and returns their replicas once the time to be forgotten is over.

    With `outage_s` the state service is out for that long, one second after the start; the time counts from its end.
    """
    service = RateLimitedState(RATE_RPS, finished_jobs(), ROWS_PER_PAGE)
    replicas: Replicas = []
    async with anyio.create_task_group() as group:
        for _ in range(controllers):
            replicas += start_replicas(group, service, 1)
            await anyio.sleep(apart_s)
        if outage_s:
            await anyio.sleep(1.0)
            service.outage_until = anyio.current_time() + outage_s
            await anyio.sleep(outage_s)
        await anyio.sleep(FORGOTTEN_AFTER_S)
        group.cancel_scope.cancel()
    return service, replicas


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("apart_s", [0.0, 0.2, 0.3, 1.0])
@pytest.mark.parametrize("controllers", [1, 2, 3])
def test_controllers_that_restart_together_all_load_a_snapshot_of_many_pages(
    controllers: int, apart_s: float, seed: int
) -> None:
    """Guards against snapshots that are never complete: each refused page made a controller begin at the first page."""
    random.seed(seed)
    service, replicas = run_in_virtual_time(load_replicas, controllers, apart_s)
    assert all(replica.loaded for replica in replicas), service.statuses
    assert all(len(replica.tables.finished_jobs) == PAGES * ROWS_PER_PAGE for replica in replicas)
    assert service.pages_answered == controllers * PAGES
    # Each controller stays within its share of the rate, so that none takes the requests of another.
    assert not service.statuses[HTTPStatus.TOO_MANY_REQUESTS]


def test_an_outage_while_a_snapshot_is_read_loses_no_page() -> None:
    """Guards against a snapshot that begins at the first page again after each failed request."""
    random.seed(1)
    service, replicas = run_in_virtual_time(load_replicas, 3, 0.0, 10.0)
    assert service.statuses[503] and all(replica.loaded for replica in replicas)
    assert service.pages_answered == 3 * PAGES


async def renew_beside_restarts(restarted: int) -> tuple[RateLimitedState, list[float]]:
    """Restarts controllers beside a busy one, which alone has the whole rate by its view; returns its renewal times."""
    service = RateLimitedState(RATE_RPS, finished_jobs(), ROWS_PER_PAGE)
    client = connect(service, LIMITED, controller_count=1)
    renewed_at = [anyio.current_time()]

    async def read_forever() -> None:
        while True:
            await client.call("GET", "/kv?starts=none", None, RequestPriority.CLAIM)

    async def renew_forever() -> None:
        while True:
            sent_at = anyio.current_time()
            reply = await client.call("POST", "/grants/1/renew", b"{}", RequestPriority.LEASE)
            if reply.status == HTTPStatus.OK:
                renewed_at.append(sent_at)
            await anyio.sleep(LIMITED.controller_lease_s / RENEWALS_PER_LEASE)

    async with anyio.create_task_group() as group:
        group.start_soon(read_forever)
        group.start_soon(renew_forever)
        replicas = start_replicas(group, service, restarted)
        await anyio.sleep(FORGOTTEN_AFTER_S)
        group.cancel_scope.cancel()
    assert all(replica.loaded for replica in replicas), service.statuses
    return service, renewed_at


async def reload_while_renewing(store: Store) -> list[float]:
    """Lets a member of the view read all rows again; returns the times of its renewals until that is over."""
    service = RateLimitedState(RATE_RPS, finished_jobs(), ROWS_PER_PAGE)
    world = World(store)
    client = world.membership.client = connect(service, LIMITED)
    replica = world.membership.replica = Replica(client, store.tables, anyio.current_time)
    world.leadership.lease_renewed_at = anyio.current_time()
    renewed_at = [world.leadership.lease_renewed_at]
    async with anyio.create_task_group() as group:
        replica.start(group)
        group.start_soon(world.membership.keep_lease)
        while not replica.loaded:
            await anyio.sleep(ANSWER_S)
            if world.leadership.lease_renewed_at != renewed_at[-1]:
                renewed_at.append(world.leadership.lease_renewed_at)
        group.cancel_scope.cancel()
    return [*renewed_at, anyio.current_time()]


def test_a_member_that_reads_all_rows_again_renews_its_lease_meanwhile(store: Store) -> None:
    """Guards against a lease that ends because a snapshot of many pages takes longer than the lease."""
    random.seed(1)
    times = run_in_virtual_time(reload_while_renewing, store)
    assert times[-1] - times[0] > LIMITED.controller_lease_s, "the snapshot is too short for this test"
    assert max(later - earlier for earlier, later in pairwise(times)) < LIMITED.controller_lease_s


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("restarted", [1, 2])
def test_a_busy_controller_keeps_its_lease_while_others_load_their_snapshots(restarted: int, seed: int) -> None:
    """Guards against snapshots that take the whole request rate, so that lease renewals are refused."""
    random.seed(seed)
    _service, renewed_at = run_in_virtual_time(renew_beside_restarts, restarted)
    assert max(later - earlier for earlier, later in pairwise(renewed_at)) < LIMITED.controller_lease_s


class RestartingCell:
    """Three controllers that crash and come back at random times, alone or together, while those that are up are busy.

    Attributes:
        loaded: The members that have read all rows since they started; they share the request rate.
        faults: What went wrong.
    """

    MEMBERS = 3
    DURATION_S = 600.0

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.service = RateLimitedState(RATE_RPS, finished_jobs(), ROWS_PER_PAGE)
        self.loaded: set[int] = set()
        self.faults: list[str] = []
        # All members that are up crash at these times.
        self.common_crashes = sorted(self.random.uniform(0.0, self.DURATION_S) for _ in range(3))

    async def run(self) -> None:
        async with anyio.create_task_group() as group:
            for member in range(self.MEMBERS):
                group.start_soon(self._crash_and_return, member)
            await anyio.sleep(self.DURATION_S)
            group.cancel_scope.cancel()

    async def _crash_and_return(self, member: int) -> None:
        while True:
            now = anyio.current_time()
            crashes_at = now + self.random.uniform(1.0, 150.0)
            crashes_at = min([crashes_at, *(at for at in self.common_crashes if at > now)])
            with anyio.move_on_after(crashes_at - now):
                await self._serve(member)
            self.loaded.discard(member)
            await anyio.sleep(self.random.choice([0.2, 6.0, 6.0, 6.0 + self.random.random()]))

    async def _serve(self, member: int) -> None:
        """Reads all rows, then renews a lease and uses the member's share of the rate for other requests."""
        client = connect(self.service, LIMITED)
        client.controller_count = lambda: len(self.loaded) or self.MEMBERS
        replica = Replica(client, Tables(), anyio.current_time)
        async with anyio.create_task_group() as group:
            replica.start(group)
            started_at = anyio.current_time()
            while not replica.loaded:
                await anyio.sleep(ANSWER_S)
                if anyio.current_time() - started_at > FORGOTTEN_AFTER_S:
                    self.faults.append(f"member {member} started at {started_at:.1f} s and has not loaded a snapshot")
                    return
            self.loaded.add(member)
            group.start_soon(self._read_forever, client)
            await self._renew_forever(member, client)

    async def _read_forever(self, client: StateClient) -> None:
        while True:
            await client.call("GET", "/kv?starts=none", None, RequestPriority.CLAIM)

    async def _renew_forever(self, member: int, client: StateClient) -> None:
        renewed_at = anyio.current_time()
        while True:
            sent_at = anyio.current_time()
            reply = await client.call("POST", "/grants/1/renew", b"{}", RequestPriority.LEASE)
            if reply.status == HTTPStatus.OK:
                renewed_at = sent_at
            elif anyio.current_time() - renewed_at >= LIMITED.controller_lease_s:
                self.faults.append(f"member {member} lost its lease at {anyio.current_time():.1f} s")
                return
            await anyio.sleep(LIMITED.controller_lease_s / RENEWALS_PER_LEASE)


def check_restarts(seed: int) -> None:
    random.seed(seed)

    async def run() -> list[str]:
        cell = RestartingCell(seed)
        await cell.run()
        return cell.faults

    faults = run_in_virtual_time(run)
    assert not faults, faults


@pytest.mark.parametrize("seed", range(1, 6))
def test_restarts_at_random_times_neither_prevent_snapshots_nor_end_leases(seed: int) -> None:
    """Guards against both faults above in orders of crashes that no test names."""
    check_restarts(seed)


if __name__ == "__main__":
    sys.exit(run_seeds(check_restarts, *map(int, sys.argv[1:3])))
