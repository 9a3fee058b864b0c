"""The cloud that rents machines by the second."""

from __future__ import annotations

import logging
from collections.abc import Callable

import anyio

from sloeswitch import wire
from sloeswitch.http import Client, NoAnswerError, Reply
from sloeswitch.rate_budget import RequestPriority, TokenBucket
from sloeswitch.settings import Settings

log = logging.getLogger("cloud")


class CloudError(Exception):
    """No usable answer; what was asked for may or may not happen."""


class CloudClient:
    """Calls within this controller's part of the cloud's rate. The coordinator has the larger one, since it
    lists and rents; the others only give machines back, many in a call."""

    def __init__(self, settings: Settings, coordinating: Callable[[], bool], now: Callable[[], float]) -> None:
        self.http = Client(settings.cloud_address, most_idle=2)
        self.now = now
        self.coordinating = coordinating
        self.rps = 0.9 * settings.cloud_rps
        self.lesser = 1 / (2 * settings.controller_count)
        self.greater = 1 - (settings.controller_count - 1) * self.lesser
        self.bucket = TokenBucket(self.rps, now())
        self.timeout_s = settings.lease_s / 2

    async def _call(self, method: str, path: str, body: bytes | None) -> Reply:
        self.bucket.rate = self.rps * (self.greater if self.coordinating() else self.lesser)
        self.bucket.acquire(1.0, RequestPriority.LEASE, self.now())
        if self.bucket.tokens < 0:
            await anyio.sleep(-self.bucket.tokens / self.bucket.rate)
        try:
            return await self.http.request(method, path, body, self.timeout_s)
        except NoAnswerError as error:
            raise CloudError(str(error)) from None

    async def read_catalog(self) -> wire.MachineTypeCatalog:
        reply = await self._call("GET", "/catalog", None)
        return self._read(reply, wire.MachineTypeCatalog)

    async def create_instances(self, booking: wire.InstanceRequest) -> list[str] | None:
        """Machines rented, or None when the cloud has none of the kind."""
        reply = await self._call("POST", "/machines", wire.encode(booking))
        if reply.status == 503 and b"no capacity" in reply.body:
            return None
        return self._read(reply, wire.InstancesCreated).instances

    async def delete_instances(self, machines: list[str]) -> None:
        """Returns once the machines and all that is on them are gone."""
        reply = await self._call("POST", "/machines/delete", wire.delete_body(machines))
        if reply.status != 200:
            raise CloudError(f"status {reply.status}")

    async def list_instances(self) -> list[wire.Instance]:
        found: list[wire.Instance] = []
        after = ""
        while True:
            path = "/machines?page=500" + (f"&after={after}" if after else "")
            page = self._read(await self._call("GET", path, None), wire.InstancePage)
            found += page.instances
            if not page.more or not page.instances:
                return found
            after = page.instances[-1].id

    @staticmethod
    def _read(reply: Reply, kind: type[wire.T]) -> wire.T:
        if reply.status != 200:
            raise CloudError(f"status {reply.status}")
        try:
            return wire.decode(reply.body, kind)
        except wire.MalformedError as error:
            log.error("cloud answer is malformed: %s", error)
            raise CloudError("malformed") from None
