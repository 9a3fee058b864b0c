"""The client of the cloud that rents machines by the second; `actors.autoscaler` alone uses it.

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

# The part of the cloud's rate that all controllers use together, so that bursts stay within the limit.
USED_FRACTION_OF_RATE = 0.9
INSTANCES_PER_PAGE = 500
MAX_IDLE_CONNECTIONS = 2


class CloudError(Exception):
    """The cloud gave no usable answer; what was asked for may or may not happen."""


class CloudStatusError(CloudError):
    """The cloud answered with another status than the expected one."""

    def __init__(self, status: int) -> None:
        super().__init__(f"status {status}")
        self.status = status


class MalformedCloudAnswerError(CloudError):
    """The body of an answer is not what the protocol says."""


class CloudClient:
    """Calls within this controller's part of the cloud's rate.

    The coordinator has the largest part, since it lists and rents; the others only give machines back, many in a call.

    Attributes:
        is_coordinator: Whether this controller is the coordinator at present.
        timeout_s: How long an answer is waited for.
        call_tokens: This controller's part of the calls per second.
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
        """The machine types on offer.

        Raises:
            CloudError: There is no usable answer.
        """
        return self._decode(await self._call("GET", "/catalog", None), wire.MachineTypeCatalog)

    async def create_instances(self, request: wire.InstanceRequest) -> list[str] | None:
        """Rents machines.

        Returns:
            The names of the machines, which may be fewer than asked for; None when the cloud has none of the kind.

        Raises:
            CloudError: There is no usable answer; machines may have been rented.
        """
        reply = await self._call("POST", "/machines", wire.encode(request))
        if reply.status == HTTPStatus.SERVICE_UNAVAILABLE and b"no capacity" in reply.body:
            return None
        return self._decode(reply, wire.InstancesCreated).instances

    async def delete_instances(self, machines: list[str]) -> None:
        """Returns once the machines and all that is on them are gone.

        Raises:
            CloudError: The cloud did not confirm it.
        """
        reply = await self._call("POST", "/machines/delete", wire.delete_body(machines))
        if reply.status != HTTPStatus.OK:
            raise CloudStatusError(reply.status)

    async def list_instances(self) -> list[wire.Instance]:
        """All rented machines, read page by page.

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
        """Takes one call from the rate; calls are served in the order in which they come, each after its wait."""
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
