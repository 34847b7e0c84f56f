"""Configuration of the platform and of operators; each error names its key."""

from __future__ import annotations

import json
import math
from datetime import timedelta
from pathlib import Path
from typing import Any

import pytest

from reedmount.config import ConfigError, flatten, read_platform
from reedmount.operator_file import read_operator
from reedmount.simhost import read_settings
from tests.test_board import host, notice
from tests.test_simhost import OPTIONS

ROOT = Path(__file__).resolve().parent.parent
SETTINGS = {
    "balancers": 4, "over_share_worth": 0.1, "discovery": "pushed", "tenants": [], "never": {"heard": None},
    "classes": [{"name": "plain", "worth": 1.0, "late_share": 0.25, "target": 2000000, "deadline": 9000000,
                 "effect": "read_like"}],
    "specifics": {"retransmit": 500000, "clear_wait": 300000, "pools_by_class": [[0, 1]]},
    "rules": {"cold": 14000000, "start_capacity": 0.32, "fall_multiple": 2.5, "tip_after": 3000000},
    "allowed": {"max_attempts": 4, "cancel": True, "connect_timeout": 250000, "retry_after": True,
                "max_retry_after": 2000000},
    "clients": {"marks_retry": False},
}  # fmt: skip


def changed(**changes: Any) -> dict[str, Any]:
    """The settings with a changed class."""
    return {**SETTINGS, "classes": [{**SETTINGS["classes"][0], **changes}]}  # type: ignore[index]


def settings_allowing(**changes: Any) -> dict[str, Any]:
    """The settings with changed values under ``allowed``."""
    return {**SETTINGS, "allowed": {**SETTINGS["allowed"], **changes}}  # type: ignore[dict-item]


def platform(folder: Path, env: dict[str, str] | None = None, **changes: Any) -> Any:
    config = {
        "name": "n3", "listen": "127.0.0.1:0", "seed": "8c1f", "limits": {"sockets": 1024},
        "board": "127.0.0.1:9", "known": {"rev": 1, "notices": [notice(1, host("a"), whole=True)]},
        "settings": SETTINGS, **changes,
    }  # fmt: skip
    path = folder / "config.json"
    path.write_text(json.dumps({key: value for key, value in config.items() if value is not None}))
    return read_platform({"GW_CONFIG": str(path), **(env or {})})


def test_the_platform_s_settings_are_read_as_the_adapter_reads_them(tmp_path: Path) -> None:
    read = platform(tmp_path, {"GW_NAME": "n9", "GW_LISTEN": "127.0.0.1:77"})
    assert (read.name, read.listen, read.seed, read.known_revision) == ("n9", ("127.0.0.1", 77), 0x8C1F, 1)
    assert read.connect_wait == timedelta(milliseconds=250) and read.idle_wait is None
    assert read.settings.max_retry_after_us == 2_000_000
    more = platform(tmp_path, settings=settings_allowing(conn_idle=9_000_000, max_retry_after=800_000))
    assert more.idle_wait == timedelta(seconds=9) and more.settings.max_retry_after_us == 800_000
    assert platform(tmp_path, settings=settings_allowing(retry_after=False)).settings.max_retry_after_us == 0
    assert read.settings.classes[0].servers == (0, 1) and read.settings.may_cancel
    assert read.settings.release_wait_us == 330_000, "with the margin for transit times"


def test_nested_settings_become_the_paths_of_the_simulator_s_protocol() -> None:
    nested = read_settings([*flatten(SETTINGS), "specifics.pools_by_class.0="])
    wire = read_settings(OPTIONS)
    assert nested == wire


@pytest.mark.parametrize(
    ("changes", "fault"),
    [
        ({"board": None}, "board is missing"),
        ({"board": "nowhere"}, "board: not an address"),
        ({"control": "here"}, "control: not an address"),
        ({"listen": "127.0.0.1"}, "listen: not an address"),
        ({"seed": "xyz"}, "seed: not hex digits"),
        ({"known": {"rev": 1}}, "known: "),
        ({"limits": {"sockets": 3}}, "limits.sockets"),
        ({"settings": {**SETTINGS, "balancers": "many"}}, "settings.balancers: not a number: 'many'"),
        ({"settings": {**SETTINGS, "rules": {}}}, "settings.rules.cold is missing"),
        ({"settings": {**SETTINGS, "rules": 3}}, "settings.rules: not an object"),
        ({"settings": {}}, "settings: not an object with keys"),
        ({"settings": {**SETTINGS, "classes": []}}, "settings.classes: not a list of classes"),
        ({"settings": changed(deadline=-5)}, "settings.classes.0.deadline: not above 0: -5"),
        ({"settings": changed(deadline=True)}, "settings.classes.0.deadline: not a number: True"),
        ({"settings": changed(target=math.nan)}, "settings.classes.0.target: not a number: nan"),
        ({"settings": changed(worth="much")}, "settings.classes.0.worth: not a number: 'much'"),
        ({"settings": changed(name="")}, "settings.classes.0.name: not a name of its own"),
        ({"settings": changed(effect="none")}, "effect"),
        ({"settings": {**SETTINGS, "allowed": {"max_attempts": 0}}}, "allowed.max_attempts: not above"),
        ({"settings": {**SETTINGS, "allowed": {"max_attempts": False}}}, "max_attempts: not a number: False"),
        ({"limits": {"sockets": True}}, "limits.sockets"),
        (
            {"settings": settings_allowing(max_retry_after="soon")},
            "allowed.max_retry_after is not a number: 'soon'",
        ),
        (
            {"settings": settings_allowing(conn_idle=-1)},
            "allowed.conn_idle: not a whole number of microseconds",
        ),
        (
            {"settings": settings_allowing(connect_timeout=0.5)},
            "settings.allowed.connect_timeout: not a whole number",
        ),
    ],
)
def test_an_error_in_the_platform_s_configuration_names_its_key(
    tmp_path: Path, changes: dict[str, Any], fault: str
) -> None:
    with pytest.raises(ConfigError) as caught:
        platform(tmp_path, **changes)
    assert fault in str(caught.value)


def test_a_reloaded_file_that_lacks_a_key_of_the_old_one_is_refused(tmp_path: Path) -> None:
    """Some keys have a default at the first start: a reload without `limits` set 1,024 descriptors."""
    old = platform(tmp_path)
    second = {**SETTINGS["classes"][0], "name": "second", "more": 1}  # type: ignore[index]
    assert platform(
        tmp_path,
        settings={**SETTINGS, "classes": [second, *SETTINGS["classes"]]},  # type: ignore[misc]
    ).checked_against(old)
    for fault, changes in (
        ("limits is missing", {"limits": None}),
        ("settings.allowed.cancel is missing", {"settings": {**SETTINGS, "allowed": {"max_attempts": 4}}}),
        ("settings.clients is missing", {"settings": {k: v for k, v in SETTINGS.items() if k != "clients"}}),
    ):
        with pytest.raises(ConfigError, match=fault):
            platform(tmp_path, **changes).checked_against(old)


def test_a_missing_or_malformed_json_configuration_is_refused(tmp_path: Path) -> None:
    for text in ("", "[]", '{"name": "n3", "listen'):
        (tmp_path / "config.json").write_text(text)
        with pytest.raises(ConfigError, match="GW_CONFIG: not"):
            read_platform({"GW_CONFIG": str(tmp_path / "config.json")})
    for env, fault in (
        ({}, "GW_CONFIG is missing"),
        ({"GW_CONFIG": str(tmp_path / "none")}, "GW_CONFIG: "),
        ({"GW_CONFIG": str(tmp_path / "config.json")}, "not JSON"),
    ):
        with pytest.raises(ConfigError, match=fault):
            read_platform(env)


def test_the_shipped_operator_file_is_read() -> None:
    read = read_operator(ROOT / "deploy" / "sip.toml")
    assert read.sip.class_of("0800123", None) == "assist-call"
    assert read.sip.class_of("123", None) == "quote-call"
    assert read.sip.class_of("0800123", "agency-call") == "agency-call"
    assert read.zone is not None and read.zone.is_file()
    assert read.updates is not None and read.settings.instances == 1


@pytest.mark.parametrize(
    ("old", "new", "fault"),
    [
        ('listen = "127.0.0.1:5060"', "listen = 5060", "sip.listen: str wanted"),
        ('listen = "127.0.0.1:5060"', "", "sip.listen is missing"),
        ("t1_ms = 500", "t1_ms = 0", "sip.t1_ms: "),
        ("t1_ms = 500", "t1 = 500", "sip.t1 is not known"),
        ('default_class = "quote-call"', 'default_class = "x"', "sip.default_class"),
        ('transports = ["tcp", "udp"]', 'transports = ["sctp"]', "dns.transports"),
        ('allow = ["127.0.0.1"]', 'allow = ["here"]', "dns.update.allow"),
        ("controllers = 1", "controllers = 0", "module.controllers"),
        ("fall_multiple = 2.5", "fall_multiple = true", "module.fall_multiple"),
        ('name = "agency-call"', 'name = "quote-call"', "class[2].name"),
        ("aim_ms = 1200", "", "class[0].aim_ms is missing"),
        ("[module]", "[modules]", "modules is not known"),
        ("[module]", "[door]\ncontrol = 3\n[module]", "door.control: str wanted"),
        ("[module]", "[door]\nlisten = 3\n[module]", "door.control is missing"),
        ("[module]", "[module", "sip.toml"),
        ("# [[dns.update.key]]", '[[dns.update.key]]\nname="k."\nsecret="!"\n', "dns.update.key[0]"),
    ],
)
def test_an_error_in_the_operator_s_file_names_its_key(
    tmp_path: Path, old: str, new: str, fault: str
) -> None:
    assert_refused(tmp_path, "sip.toml", old, new, fault)


def assert_refused(folder: Path, name: str, old: str, new: str, fault: str) -> None:
    text = (ROOT / "deploy" / name).read_text()
    assert old in text
    path = folder / name
    path.write_text(text.replace(old, new, 1))
    with pytest.raises(ConfigError) as caught:
        read_operator(path)
    assert fault in str(caught.value)


def test_the_shipped_file_with_srv_records_is_read_and_shows_the_defaults(tmp_path: Path) -> None:
    text = (ROOT / "deploy" / "srv.toml").read_text()
    read = read_operator(ROOT / "deploy" / "srv.toml")
    assert read.srv is not None and read.zone is None
    assert read.srv.names == (("_sip._udp.calls.example.", "udp"), ("_sip._tcp.calls.example.", "tcp"))
    assert [(claim.endpoint, claim.transport) for claim in read.fixed] == [(("127.0.0.2", 5070), "udp")]
    bare = [line for line in text.splitlines()
            if not line.partition(" =")[0].endswith(("_s", "_ms", "_bound", "_kib", "_entries", "ipv6"))
            or line.startswith(("aim", "give"))]  # fmt: skip
    (tmp_path / "bare.toml").write_text("\n".join(bare))
    other = read_operator(tmp_path / "bare.toml")
    assert len(bare) < len(text.splitlines()) - 15 and (other.srv, other.pool) == (read.srv, read.pool)


@pytest.mark.parametrize(
    ("old", "new", "fault"),
    [
        ('names = ["_sip._udp.calls.example."', "names = [3", "srv.names: strings wanted"),
        ('"_sip._udp.calls.example."', '"calls.example."', "srv.names: 'calls.example.' is not of the form"),
        ('"_sip._udp.calls.example."', '"_sip._sctp.calls.example."', "srv.names"),
        ('"_sip._udp.calls.example."', '"_sip._udp..example."', "'_sip._udp..example.': EmptyLabel"),
        ('name_servers = ["127.0.0.1:5300"]', "", "srv.name_servers is missing"),
        ('"127.0.0.1:5300"', '"ns.example:53"', "srv.name_servers: 'ns.example'"),
        ('"127.0.0.1:5300"', '"127.0.0.1:0"', "srv.name_servers: port 0"),
        ('"127.0.0.1:5300"', '"::1:53"', "srv.name_servers: an IPv6 address without brackets"),
        ("ttl_floor_s = 1.0", "ttl_floor_s = 1000.0", "srv.ttl_floor_s: above ttl_ceiling_s"),
        ("stale_s = 86400.0", "stale_s = -1.0", "srv.stale_s: -1.0 is not within"),
        ("deadline_ms = 5000", "deadline_ms = 5", "srv.deadline_ms: 5 is not within"),
        ("retry_ms = 2000", 'retry_ms = "2"', "srv.retry_ms: int wanted"),
        ("ipv6 = false", "ipv6 = true", "srv.ipv6 needs sip.listen6"),
        ("# listen6 = ", 'listen6 = "127.0.0.1:1" # ', "sip.listen6: not an IPv6 address"),
        ('past_bound = "drain"', 'past_bound = "keep"', "pool.past_bound: of ['drain', 'last-resort']"),
        ("udp:127.0.0.2:5070", "sctp:127.0.0.2:5070", "pool.servers"),
        ("udp:127.0.0.2:5070", "udp:zurich:5070", "pool.servers: 'zurich'"),
        ('transport = "tcp"', 'transport = "tls"', "pool.transport"),
        ("priority = 0", "priority = 70000", "pool.priority: 70000 is not within"),
        ("press_ms = 50", "pres_ms = 50", "pool.pres_ms is not known"),
        ("# board = ", 'board = "board:1" # ', "pool.board"),
        ("cache_kib = 8192", "cache_kib = 1", "srv.cache_kib"),
    ],
)
def test_an_error_in_pool_and_srv_names_its_key(tmp_path: Path, old: str, new: str, fault: str) -> None:
    assert_refused(tmp_path, "srv.toml", old, new, fault)


def test_a_file_without_any_source_of_call_servers_is_refused(tmp_path: Path) -> None:
    text = (ROOT / "deploy" / "srv.toml").read_text()
    text = text[: text.index("[srv]")] + text[text.index("[[class]]") :]
    (tmp_path / "none.toml").write_text(text.replace('servers = ["udp:127.0.0.2:5070"]', ""))
    with pytest.raises(ConfigError, match="no source of call servers"):
        read_operator(tmp_path / "none.toml")
