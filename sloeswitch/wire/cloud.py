"""Messages of the cloud: its machine types and its instances."""

from __future__ import annotations

from msgspec import Struct

from sloeswitch.wire.codec import encode


class MachineType(
    Struct,
    rename={
        "gpus": "accelerators",
        "memory": "memoryGb",
        "cache_gb": "cacheGb",
        "fetch_gb_s": "fetchGbPerS",
        "price": "rate",
        "spot_price": "marketPrice",
        "boot_s": "readyS",
        "zones": "districts",
    },
):
    """A machine type that the cloud rents out."""

    name: str
    cores: float
    gpus: float
    memory: float
    # The size of the image cache, and the rate at which images are fetched, in GB per second, give or take a third.
    cache_gb: float
    fetch_gb_s: float
    # Prices per hour, billed by the second; the spot price varies by up to a third.
    price: float
    spot_price: float
    # The typical boot time; the actual time is usually 0.6 to 1.5 times as long.
    boot_s: float
    zones: list[str]


class MachineTypeCatalog(Struct, rename={"types": "builds"}):
    """The cloud's machine types (GET /catalog)."""

    types: list[MachineType]


class InstanceRequest(Struct, rename={"name": "booking", "type": "build", "zone": "district", "spot": "loaners"}):
    """A request to create instances (POST /machines).

    The name makes the request idempotent: a request with a name that was already used gets the first answer and creates
    nothing. A name is never reused for a different request.
    """

    name: str
    type: str
    zone: str
    spot: bool
    count: int


class InstancesCreated(Struct, rename={"instances": "hosts"}):
    """The names of the created instances; fewer than requested if the cloud had no capacity for more."""

    instances: list[str]


class Instance(
    Struct, rename={"type": "build", "zone": "district", "spot": "loaners", "state": "status", "age_s": "heldS"}
):
    """An instance in the cloud's list: `starting`, `running` or `failed`. Its age counts from the request."""

    id: str
    address: str
    type: str
    zone: str
    spot: bool
    state: str
    age_s: float


class InstancePage(Struct, rename={"instances": "hosts", "more": "hasNext"}):
    """A page of the list of instances, sorted by name (GET /machines). The list lags behind the actual instances."""

    instances: list[Instance]
    more: bool


def delete_body(machines: list[str]) -> bytes:
    """Encodes the body of a request to delete instances (POST /machines/delete)."""
    return encode({"hosts": machines})
