"""The operators' file: its values are read, and all its faults are reported at once, each with its position."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest

from flintshift.settings import units
from flintshift.settings.operators import FaultsError, parse_operators_file, read_operators_file
from flintshift.settings.options import OperatorSettings

ROOT = Path(__file__).parent.parent.parent


def faults_of(text: str) -> list[str]:
    with pytest.raises(FaultsError) as caught:
        parse_operators_file("f.yaml", text, Path("/srv"))
    return list(map(str, caught.value.faults))


def test_shipped_file_is_valid_and_disables_all():
    assert read_operators_file(ROOT / "deploy" / "flintshift.yaml") == OperatorSettings()


def test_empty_file_sets_nothing():
    assert (
        parse_operators_file("f.yaml", "", Path())
        == parse_operators_file("f.yaml", "# nothing\n", Path())
        == OperatorSettings()
    )


def test_values_get_base_units_and_folders_are_relative_to_the_file():
    usage = parse_operators_file(
        "f.yaml", "usage: {enabled: true, folder: u, period: 1.5h, sync: 10ms, segment: 64kB}", Path("/srv")
    ).usage
    assert usage is not None
    assert (usage.folder, usage.period_ms, usage.sync_ms, usage.segment_bytes) == (
        Path("/srv/u"),
        5_400_000,
        10.0,
        64_000,
    )
    assert usage.export is None


@pytest.mark.parametrize(
    ("text", "sync_ms"),
    [
        ("", 50.0),
        (", durability: power-cut", 5.0),
        (", durability: power-cut, sync: 20ms", 20.0),
        (", sync: 1s", 1000.0),
    ],
)
def test_sync_time_depends_on_durability_unless_given(text, sync_ms):
    usage = parse_operators_file("f.yaml", f"usage: {{enabled: true{text}}}", Path()).usage
    assert usage is not None and usage.sync_ms == sync_ms


def test_yaml_1_2_reads_no_as_text():
    assert faults_of("log: {enabled: no}") == ["f.yaml:1:7: log.enabled: expected true or false, found 'no'"]


def test_all_faults_are_reported_at_once_in_the_order_of_their_lines():
    assert faults_of("""\
log:
  format: xml
  repeats: 10
usage:
  enabled: true
  period: 40d
  perod: 1h
  export:
    http:
      url: http://192.0.2.1/x
""") == [
        "f.yaml:2:3: log.format: expected 'json' or 'text', found 'xml'",
        "f.yaml:3:3: log.repeats: expected a number with one of ms, s, min, h, d, such as 28s or 10ms; "
        "a number alone has no unit, found 10",
        "f.yaml:6:3: usage.period: expected 1s to 31d, found 40d",
        "f.yaml:7:3: usage.perod: unknown key",
        "f.yaml:10:7: usage.export.http.url: 192.0.2.1 is no loopback address, found 'http://192.0.2.1/x'",
    ]


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("usage: [", "f.yaml:1:9: no YAML 1.2: "),
        ("a: 1\na: 2", "f.yaml:2:1: no YAML 1.2: found duplicate key"),
        ("- a", "f.yaml:1:1: expected keys with values"),
        ("usage: {export: {}}", "f.yaml:1:9: usage.export: expected a folder, http, or both"),
        ("usage: {export: {folder: x, backoff: 2s, backoff-most: 1s}}", "usage.export.backoff: expected no more"),
        ("usage: 5", "f.yaml:1:1: usage: expected keys with values, found 5"),
        ("uwsgi: {listen: '10.0.0.1:1'}", "10.0.0.1 is no loopback address"),
        ("uwsgi: {listen: 'here'}", "expected host:port with a loopback host"),
        ("usage: {enabled: true, period: 1s, grace: 1h}", "usage.grace: expected at most 31 periods"),
        (
            "usage: {durability: power-cut, sync: 101ms}",
            "f.yaml:1:32: usage.sync: expected at most 100ms with durability",
        ),
        ("usage: {period: 1000.5ms}", "expected a whole number of milliseconds"),
        ("x: &a [*a]", "unknown key"),
    ],
)
def test_fault_message(text, expected):
    assert expected in "\n".join(faults_of(text))


def test_unreadable_file_is_named(tmp_path):
    with pytest.raises(FaultsError, match=r"none\.yaml: can't be read: No such file"):
        read_operators_file(tmp_path / "none.yaml")
    (tmp_path / "latin.yaml").write_bytes(b"\xff\xfe\xff")
    with pytest.raises(FaultsError, match="can't be read"):
        read_operators_file(tmp_path / "latin.yaml")


@pytest.mark.parametrize(("text", "ms"), [("28s", 28_000), ("10ms", 10), ("1.5 min", 90_000), ("31d", 2_678_400_000)])
def test_durations(text, ms):
    assert units.duration_ms(text) == ms


@pytest.mark.parametrize("text", ["", "s", "-1s", "1e3s", "1 fortnight", "1s2", "9" * 20 + "s", None, 5, True])
def test_invalid_durations(text):
    with pytest.raises(ValueError, match="expected a number with one of"):
        units.duration_ms(text)


def test_shares_and_sizes():
    assert units.share("14%") == 0.14
    assert units.size_bytes("64kB") == 64_000 and units.size_bytes("1KiB") == 1024
    with pytest.raises(ValueError, match="at most 100%"):
        units.share("101%")


def test_node_without_file_imports_no_reader_and_no_disabled_part():
    imported = subprocess.run(
        [sys.executable, "-c", "import sys, flintshift.__main__; print(*sys.modules)"],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=True,
    ).stdout.split()
    disabled = (
        "dns",
        "ruamel",
        "pydantic",
        "structlog",
        "msgspec",
        "click",
        "google",
        "httpx",
        "flintshift.usage",
        "flintshift.storage",
        "flintshift.settings.operators",
        "flintshift.wire.dnssd",
    )
    assert not [
        name for name in imported if name in disabled or name.startswith(tuple(f"{part}." for part in disabled))
    ]


MEMBERS = "members: {n1: {hall: a, address: '127.0.0.1:1'}, n2: {hall: b, address: '127.0.0.1:2'}}"


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("peers: {enabled: true}", "at least two members"),
        (f"copies: {{enabled: true}}\npeers: {{{MEMBERS}}}", "peers.enabled too"),
        (f"copies: {{enabled: true, copies: 5}}\npeers: {{enabled: true, {MEMBERS}}}", "at most the 2 members"),
        (f"peers: {{enabled: true, {MEMBERS}, lease: 300ms}}", "at least three times peers.beat"),
        (
            "peers: {enabled: true, members: "
            "{n1: {hall: a, address: '127.0.0.1:1'}, n2: {hall: b, address: '127.0.0.1:1'}}}",
            "another member has it too",
        ),
        ("peers: {members: {n1: {hall: a, address: '10.0.0.1:1'}}}", "peers.members.n1.address"),
        (
            "startup: {enabled: true, at-once: 4}",
            "f.yaml:1:26: startup.at-once: expected peers.enabled and copies.enabled",
        ),
        (f"peers: {{enabled: true, {MEMBERS}}}\nstartup: {{enabled: true, at-once: 4}}", "startup.at-once"),
        ("startup: {enabled: true, at-once: 0}", "startup.at-once"),
    ],
)
def test_faults_of_peers_and_copies(text, expected):
    assert any(expected in fault for fault in faults_of(text))


def test_peers_and_copies_become_options():
    settings = parse_operators_file(
        "f.yaml", f"peers: {{enabled: true, {MEMBERS}}}\ncopies: {{enabled: true, copies: 2}}", Path("/srv")
    )
    assert settings.peers is not None and settings.peers.members["n2"] == ("b", ("127.0.0.1", 2))
    assert settings.copies is not None and settings.copies.folder == Path("/srv/copies")
