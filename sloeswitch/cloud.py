"""The client of the cloud, which rents out machines billed by the second.

Only `actors.scale_out` and `actors.scale_in` use it.

Source: PROTOCOL-sloeswitch.md, "Controller nodes -> cloud".
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from http import HTTPStatus

import anyio

from sloeswitch import wire
from sloeswitch.http_client import Client, HttpTransportError, Reply
from sloeswitch.rate_budget import RequestPriority, TokenBucket
from sloeswitch.settings import Settings

log = logging.getLogger("cloud")

# The fraction of the cloud's rate limit that all controllers use together; the rest keeps bursts within the limit.
USED_FRACTION_OF_RATE = 0.9
INSTANCES_PER_PAGE = 500
MAX_IDLE_CONNECTIONS = 2


class CloudError(Exception):
    """The cloud gave no usable answer; the request may or may not have been executed."""


class CloudStatusError(CloudError):
    """The cloud answered with an unexpected status."""

    def __init__(self, status: int) -> None:
        super().__init__(f"unexpected status {status}")
        self.status = status


class MalformedCloudAnswerError(CloudError):
    """The body of an answer does not conform to the protocol."""


class CloudClient:
    """Calls the cloud within this controller's share of the cloud's rate limit.

    The coordinator has the largest share, because only it lists and rents machines. The other controllers only delete
    machines, many per call.

    Attributes:
        is_coordinator: Returns whether this controller is currently the coordinator.
        timeout_s: The time limit for one call.
        call_tokens: The token bucket that limits this controller's calls per second.
    """

    def __init__(self, settings: Settings, is_coordinator: Callable[[], bool], now: Callable[[], float]) -> None:
        self.http = Client(settings.cloud_address, max_idle_connections=MAX_IDLE_CONNECTIONS)
        self.now = now
        self.is_coordinator = is_coordinator
        self.timeout_s = settings.lease_s / 2
        self._rate = USED_FRACTION_OF_RATE * settings.cloud_rps
        self._follower_fraction = 1 / (2 * settings.controller_count)
        self._coordinator_fraction = 1 - (settings.controller_count - 1) * self._follower_fraction
        self.call_tokens = TokenBucket(self._rate, now())

    async def read_catalog(self) -> wire.MachineTypeCatalog:
        """Returns the machine types that the cloud offers.

        Raises:
            CloudError: There is no usable answer.
        """
        return self._decode(await self._call("GET", "/catalog", None), wire.MachineTypeCatalog)

    async def create_instances(self, request: wire.InstanceRequest) -> list[str] | None:
        """Rents machines.

        Returns:
            The ids of the machines, possibly fewer than requested; None if the cloud has no capacity for any of them.

        Raises:
            CloudError: There is no usable answer; machines may have been rented.
        """
        reply = await self._call("POST", "/machines", wire.encode(request))
        if reply.status == HTTPStatus.SERVICE_UNAVAILABLE and b"no capacity" in reply.body:
            return None
        return self._decode(reply, wire.InstancesCreated).instances

    async def delete_instances(self, machines: list[str]) -> None:
        """Deletes machines; returns once they, and everything that ran on them, are gone.

        Raises:
            CloudError: The cloud did not confirm the deletion.
        """
        reply = await self._call("POST", "/machines/delete", wire.delete_body(machines))
        if reply.status != HTTPStatus.OK:
            raise CloudStatusError(reply.status)

    async def list_instances(self) -> list[wire.Instance]:
        """Returns all rented machines, read page by page.

        Raises:
            CloudError: There is no usable answer.
        """
        instances: list[wire.Instance] = []
        after_id = ""
        while True:
            path = f"/machines?page={INSTANCES_PER_PAGE}" + (f"&after={after_id}" if after_id else "")
            page = self._decode(await self._call("GET", path, None), wire.InstancePage)
            instances += page.instances
            if not page.more or not page.instances:
                return instances
            after_id = page.instances[-1].id

    async def _call(self, method: str, path: str, body: bytes | None) -> Reply:
        await self._wait_for_rate()
        try:
            return await self.http.request(method, path, body, self.timeout_s)
        except HttpTransportError as error:
            raise CloudError(str(error)) from None

    async def _wait_for_rate(self) -> None:
        """Takes a token for one call, and waits until the bucket is no longer overdrawn.

        Calls use the priority LEASE because it may overdraw the bucket: each waiting call then waits longer than the
        one before it, so that calls are sent in order.
        """
        fraction = self._coordinator_fraction if self.is_coordinator() else self._follower_fraction
        self.call_tokens.rate = self._rate * fraction
        self.call_tokens.acquire(1.0, RequestPriority.LEASE, self.now())
        if self.call_tokens.tokens < 0:
            await anyio.sleep(-self.call_tokens.tokens / self.call_tokens.rate)

    @staticmethod
    def _decode(reply: Reply, message: type[wire.T]) -> wire.T:
        if reply.status != HTTPStatus.OK:
            raise CloudStatusError(reply.status)
        try:
            return wire.decode(reply.body, message)
        except wire.MalformedError as error:
            log.error("answer of the cloud is malformed: message=%s error=%s", message.__name__, error)
            raise MalformedCloudAnswerError(str(error)) from None
