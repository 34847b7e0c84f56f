"""Of the servers listed at one address, only the latest process counts."""

from __future__ import annotations

from datetime import timedelta

from hypothesis import given
from hypothesis import strategies as st

from reedmount.core.address_holders import AddressHolders
from reedmount.core.clock import EPOCH
from reedmount.core.ports import ListedServer


def entry(name: str, port: int = 1, removed: bool = False, start_s: int | None = None) -> ListedServer:
    started = None if start_s is None else EPOCH + timedelta(seconds=start_s)
    return ListedServer(name, ("h", port), 1, not removed, removed, started)


@given(st.lists(st.lists(st.builds(entry, st.sampled_from("abc"), st.integers(1, 2), st.booleans(),
                                   st.none() | st.integers(1, 5)), max_size=3, unique_by=lambda e: e.server),
                max_size=6))  # fmt: skip
def test_no_two_servers_serve_at_one_address(events: list[list[ListedServer]]) -> None:
    addresses, serving = AddressHolders(), dict[str, ListedServer]()
    for event in events:
        for changed in sorted(addresses.resolve(event), key=lambda changed: changed.removed):
            serving.pop(changed.server, None)
            if not changed.removed:
                serving[changed.server] = changed
        held = [server.address for server in serving.values()]
        assert len(held) == len(set(held))


def test_the_start_tells_which_process_is_the_later_one() -> None:
    addresses = AddressHolders()
    addresses.resolve([entry("new", start_s=2)])
    assert [changed.removed for changed in addresses.resolve([entry("old", start_s=1)])] == [True]
    (replaced, restarted) = addresses.resolve([entry("old", start_s=3)])
    assert replaced.server == "new" and replaced.removed and restarted.serving
