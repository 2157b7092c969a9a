"""Tests of the command line: its output and its exit codes."""

from __future__ import annotations

import json
import subprocess
import sys
from pathlib import Path

import pytest
from click.testing import CliRunner

from flintshift.cli.main import main
from flintshift.storage.files import DiskFiles
from flintshift.usage.folder import LedgerFolder
from flintshift.usage.messages import Tick
from flintshift.usage.policy import LedgerPolicy
from flintshift.usage.records import FLAG_NO_ANSWER, Claim, row_number

ROOT = Path(__file__).parent.parent.parent


def invoke(*arguments):
    """Run the command line in this process, and return its result."""
    return CliRunner().invoke(main, [str(word) for word in arguments])


@pytest.fixture
def ledger(tmp_path):
    """The folder of a ledger with a closed period that begins at 1000 ms and an open one that begins at 5000 ms."""
    ledger_folder = LedgerFolder(DiskFiles(), tmp_path / "u")
    ledger_folder.open("n1", b"l" * 16, 1000, ["a", "b"], ["look", "pay"], 1000)
    policy = LedgerPolicy(ledger_folder.accounts, 0)
    for now in (1000, 5000):
        for action in policy.handle(now, Tick()):
            ledger_folder.append([action.entry])
        ledger_folder.append([Claim(b"12345678", row_number(0, 0, 2, 0, 0), FLAG_NO_ANSWER, 2500, 1, 7, 20)])
    ledger_folder.write_documents(ledger_folder.accounts.state.documents)
    ledger_folder.close()
    return tmp_path / "u"


CORRECTION_OPTIONS = [
    "--id",
    "c1",
    "--author",
    "op",
    "--reason",
    "why",
    "--club",
    "a",
    "--class",
    "look",
    "--front",
    "http",
    "--outcome",
    "served",
    "--by",
    "requests=2",
]


def test_help_lists_the_commands_and_the_exit_codes():
    result = invoke("--help")
    assert result.exit_code == 0
    assert all(
        word in result.output for word in ("run", "check", "demo", "control", "usage", "Exit codes:", "3  done, and")
    )
    for command in (
        ["run"],
        ["check"],
        ["demo"],
        ["usage", "show"],
        ["usage", "correct"],
        ["usage", "export"],
        ["usage", "reconcile"],
        ["control", "ready"],
        ["control", "out-of-service"],
        ["control", "in-service"],
    ):
        assert invoke(*command, "--help").exit_code == 0


def test_check_prints_all_faults_and_exits_with_2(tmp_path):
    valid = invoke("check", ROOT / "deploy" / "flintshift.yaml")
    assert valid.exit_code == 0 and "good; on: nothing" in valid.output
    enabled = tmp_path / "some.yaml"
    enabled.write_text("door: {enabled: true}\nlog: {enabled: true}\n")
    assert "good; on: log, door" in invoke("check", enabled).output
    invalid = tmp_path / "bad.yaml"
    invalid.write_text("log: {level: loud}\nusage:\n  period: 5\n")
    result = invoke("check", invalid)
    assert (
        result.exit_code == 2
        and f"{invalid}:1:7: log.level" in result.output
        and f"{invalid}:3:3: usage.period" in result.output
    )
    faults = json.loads(invoke("check", invalid, "--json").stdout)
    assert [(fault["line"], fault["path"]) for fault in faults] == [(1, "log.level"), (3, "usage.period")]
    assert invoke("check", tmp_path / "none.yaml").exit_code == 2


def test_show_prints_rows_as_table_json_and_csv(ledger):
    result = invoke("usage", "show", "--folder", ledger)
    assert result.exit_code == 0
    assert "19700101T000001.000Z  closed  a" in result.output and "19700101T000005.000Z  open    a" in result.output
    rows = json.loads(invoke("usage", "show", "--folder", ledger, "--json", "--period", "19700101T000001").output)[
        "rows"
    ]
    assert [(row["club"], row["requests"], row["run_us"], row["bytes_out"]) for row in rows] == [("a", 1, 2500, 20)]
    lines = invoke("usage", "show", "--folder", ledger, "--format", "csv", "--club", "a").output.splitlines()
    assert len(lines) == 3 and lines[1] == "19700101T000001.000Z,closed,a,look,http,served,1,0,0,2500,1,7,20"


def test_a_folder_without_a_ledger_and_missing_folder_options_are_errors(tmp_path):
    result = invoke("usage", "show", "--folder", tmp_path)
    assert result.exit_code == 1 and "holds no ledger" in result.output
    assert invoke("usage", "show").exit_code == 2
    disabled = invoke("usage", "show", "--settings", ROOT / "deploy" / "flintshift.yaml")
    assert disabled.exit_code == 2 and "usage is off there" in disabled.output


def test_corrections_change_open_periods_and_revise_closed_ones(ledger):
    closed = invoke("usage", "correct", "--folder", ledger, "--period", "19700101T000001.000Z", *CORRECTION_OPTIONS)
    assert (closed.exit_code, closed.output) == (0, "makes revision 1 of the period, which has closed\n")
    repeated = invoke("usage", "correct", "--folder", ledger, "--period", "19700101T000001.000Z", *CORRECTION_OPTIONS)
    assert (repeated.exit_code, repeated.output) == (0, "was taken before; nothing changes\n")
    conflicting = invoke(
        "usage", "correct", "--folder", ledger, "--period", "19700101T000005.000Z", *CORRECTION_OPTIONS
    )
    assert conflicting.exit_code == 3 and "taken before with another content" in conflicting.output
    assert sorted(path.name for path in (ledger / "documents").iterdir())[1].endswith(".r1.usage")
    rows = json.loads(invoke("usage", "show", "--folder", ledger, "--json").output)["rows"]
    assert [(row["state"], row["requests"]) for row in rows] == [("closed, revision 1", 3), ("open", 1)]


@pytest.mark.parametrize(
    ("arguments", "code", "text"),
    [
        (["--period", "19700101T000009.000Z", *CORRECTION_OPTIONS], 3, "no period begins at 9000 ms"),
        (["--period", "yesterday", *CORRECTION_OPTIONS], 2, "is not the start of a period"),
        (["--period", "19701301T000000.000Z", *CORRECTION_OPTIONS], 2, "is not a date"),
        (
            ["--period", "19700101T000001.000Z", *CORRECTION_OPTIONS, "--by", "calls=-9"],
            3,
            "calls: 1 and -9 is below zero",
        ),
        (["--period", "19700101T000001.000Z", *CORRECTION_OPTIONS, "--by", "cows=1"], 2, "expected one of requests"),
        (
            ["--period", "19700101T000001.000Z", *CORRECTION_OPTIONS[:1], "../x", *CORRECTION_OPTIONS[2:]],
            2,
            "--id is 1 to 64",
        ),
    ],
)
def test_an_invalid_correction_is_rejected_with_the_reason(ledger, arguments, code, text):
    result = invoke("usage", "correct", "--folder", ledger, *arguments)
    assert result.exit_code == code and text in result.output


def test_export_to_a_folder_and_reconcile(ledger, tmp_path):
    result = invoke("usage", "export", "--folder", ledger, "--to-folder", tmp_path / "out")
    assert result.exit_code == 0 and "1 delivered, 0 left" in result.output
    assert invoke("usage", "export", "--folder", ledger, "--to-folder", tmp_path / "out").exit_code == 0
    reconciled = invoke("usage", "reconcile", tmp_path / "out")
    assert (reconciled.exit_code, reconciled.stdout) == (0, "1 documents, 0 findings\n")
    (tmp_path / "count.csv").write_text("club,requests\na,4\n")
    result = invoke("usage", "reconcile", tmp_path / "out", "--counted", tmp_path / "count.csv", "--json")
    assert result.exit_code == 3
    assert [(one["club"], one["by"]) for one in json.loads(result.stdout)] == [("a", -3)]
    (tmp_path / "out" / "junk.usage").write_bytes(b"\xff")
    assert invoke("usage", "reconcile", tmp_path / "out").exit_code == 1
    assert invoke("usage", "export", "--folder", ledger).exit_code == 2  # no sink


def test_export_to_an_unreachable_sink_exits_with_3_and_delivers_nothing(ledger):
    result = invoke(
        "usage",
        "export",
        "--folder",
        ledger,
        "--to-url",
        "http://127.0.0.1:9/usage",
        "--wait",
        "0.3",
        "--backoff",
        "0.05",
    )
    assert result.exit_code == 3 and "0 delivered, 1 left" in result.output and "export.not_delivered" in result.output


def test_a_damaged_log_file_is_named(ledger):
    log = next((ledger / "log").iterdir())
    data = bytearray(log.read_bytes())
    data[30] ^= 1
    log.write_bytes(data)
    result = invoke("usage", "show", "--folder", ledger)
    assert result.exit_code == 1 and f"{log}: is damaged: offset" in result.output


def test_run_with_an_invalid_settings_file_exits_with_2(tmp_path):
    (tmp_path / "bad.yaml").write_text("uwsgi: {enabled: maybe}\n")
    result = subprocess.run(
        [sys.executable, "-m", "flintshift.cli", "run", "--settings", str(tmp_path / "bad.yaml")],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=False,
        env={},
    )
    assert result.returncode == 2 and "uwsgi.enabled: expected true or false, found 'maybe'" in result.stderr


def test_the_demo_records_what_its_callers_counted():
    process = subprocess.run(
        [sys.executable, "-m", "flintshift.cli", "demo", "--seconds", "1", "--json"],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=False,
    )
    result = json.loads(process.stdout)
    assert process.returncode == 0 and result["counted"] == result["booked"] and sum(result["counted"].values()) > 20
