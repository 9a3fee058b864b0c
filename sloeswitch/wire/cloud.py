"""The cloud's machine types, and instances of them."""

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
    # Room for images, and how many GB of an image are fetched a second, give or take a third.
    cache_gb: float
    fetch_gb_s: float
    # Per hour, charged by the second; the spot price moves by up to a third.
    price: float
    spot_price: float
    # Usually 0.6 to 1.5 times as long.
    boot_s: float
    zones: list[str]


class MachineTypeCatalog(Struct, rename={"types": "builds"}):
    """The cloud's machine types (GET /catalog)."""

    types: list[MachineType]


class InstanceRequest(Struct, rename={"name": "booking", "type": "build", "zone": "district", "spot": "loaners"}):
    """Asks the cloud for instances (POST /machines).

    A repeated name gets the first answer and rents nothing; it is never used for another request.
    """

    name: str
    type: str
    zone: str
    spot: bool
    count: int


class InstancesCreated(Struct, rename={"instances": "hosts"}):
    """The names of the instances that the cloud created; fewer than asked for if there was no room for more."""

    instances: list[str]


class Instance(
    Struct, rename={"type": "build", "zone": "district", "spot": "loaners", "state": "status", "age_s": "heldS"}
):
    """An instance in the cloud's list: `starting`, `running` or `failed`; its age counts from the request."""

    id: str
    address: str
    type: str
    zone: str
    spot: bool
    state: str
    age_s: float


class InstancePage(Struct, rename={"instances": "hosts", "more": "hasNext"}):
    """A page of the cloud's instances, by name (GET /machines). The list lags behind."""

    instances: list[Instance]
    more: bool


def delete_body(machines: list[str]) -> bytes:
    """The body that asks the cloud to delete instances (POST /machines/delete)."""
    return encode({"hosts": machines})
