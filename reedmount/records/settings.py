"""The ``[replicas]`` table of an operator's configuration file."""

from __future__ import annotations

from dataclasses import dataclass, field
from datetime import timedelta
from pathlib import Path

from reedmount.config import ConfigError
from reedmount.replicas.placement import MAX_FAULTS
from reedmount.store.faulty import Faults
from reedmount.tables import Table


@dataclass(frozen=True, slots=True)
class ReplicaSettings:
    """How call records are replicated and stored."""

    faults: int = 1  # simultaneous machine losses, disks included, that are tolerated
    folder: Path | None = None  # of the store; None: replicas are kept in memory only
    sync: bool = True  # whether a record counts as durable after fsync, or already after write
    wait: timedelta = timedelta(milliseconds=100)  # maximum time a caller waits for its record
    keep_for: timedelta = timedelta(hours=1)  # of a completed record
    disk_faults: Faults = field(default_factory=Faults)  # for tests


def read_replicas(table: Table, base: Path, members: int) -> ReplicaSettings:
    """Reads and checks the table. ``base``: the folder of the file; ``members``: the number of voters. Raises
    ConfigError naming the key."""
    defaults = ReplicaSettings()
    faults = table.amount("faults", int, defaults.faults, 0, MAX_FAULTS)
    if members < 2 * faults + 1:
        required = 2 * faults + 1
        raise ConfigError(f"{table.path}.faults: {faults} need a roster of {required}, it has {members}")
    disk = table.table("disk_faults")
    try:
        disk_faults = Faults(
            seed=disk.amount("seed", int, 1, 0, 2**31),
            lying_sync=disk.amount("lying_sync", float, 0.0, 0.0, 1.0),
            torn_write=disk.amount("torn_write", float, 0.0, 0.0, 1.0),
            turned_bits=disk.amount("turned_bits", int, 0, 0, 64),
            full_after=disk.amount("full_after", int, 0, 0, 2**40),
            unreadable=disk.amount("unreadable", float, 0.0, 0.0, 1.0),
            read_only=disk.get("read_only", bool, False),
        )
    except ValueError as error:
        raise ConfigError(f"{disk.path}: {error}") from None
    disk.done()
    return ReplicaSettings(
        faults=faults,
        folder=base / table.get("folder", str) if table.has("folder") else None,
        sync=table.get("sync", bool, True),
        wait=table.span("wait_ms", 100, 1, 5000),
        keep_for=table.seconds("keep_s", 3600.0, 1.0, 604_800.0),
        disk_faults=disk_faults,
    )
