"""The command line: what it prints, and its exit codes."""

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


def run(*words):
    return CliRunner().invoke(main, [str(word) for word in words])


@pytest.fixture
def ledger(tmp_path):
    """A ledger with one closed period, at 1000 ms, and one that is open, at 5000 ms."""
    holder = LedgerFolder(DiskFiles(), tmp_path / "u")
    holder.open("n1", b"l" * 16, 1000, ["a", "b"], ["look", "pay"], 1000)
    keeper = LedgerPolicy(holder.accounts, 0)
    for now in (1000, 5000):
        for action in keeper.handle(now, Tick()):
            holder.append([action.entry])
        holder.append([Claim(b"12345678", row_number(0, 0, 2, 0, 0), FLAG_NO_ANSWER, 2500, 1, 7, 20)])
    holder.write_documents(holder.accounts.state.documents)
    holder.close()
    return tmp_path / "u"


CORRECT = [
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


def test_help_names_the_commands_and_the_exit_codes():
    told = run("--help")
    assert told.exit_code == 0
    assert all(
        word in told.output for word in ("run", "check", "demo", "control", "usage", "Exit codes:", "3  done, and")
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
        assert run(*command, "--help").exit_code == 0


def test_check_names_all_faults_and_exits_with_2(tmp_path):
    good = run("check", ROOT / "deploy" / "flintshift.yaml")
    assert good.exit_code == 0 and "good; on: nothing" in good.output
    some = tmp_path / "some.yaml"
    some.write_text("door: {enabled: true}\nlog: {enabled: true}\n")
    assert "good; on: log, door" in run("check", some).output
    bad = tmp_path / "bad.yaml"
    bad.write_text("log: {level: loud}\nusage:\n  period: 5\n")
    told = run("check", bad)
    assert told.exit_code == 2 and f"{bad}:1:7: log.level" in told.output and f"{bad}:3:3: usage.period" in told.output
    faults = json.loads(run("check", bad, "--json").stdout)
    assert [(fault["line"], fault["path"]) for fault in faults] == [(1, "log.level"), (3, "usage.period")]
    assert run("check", tmp_path / "none.yaml").exit_code == 2


def test_show_prints_rows_as_table_json_and_csv(ledger):
    told = run("usage", "show", "--folder", ledger)
    assert told.exit_code == 0
    assert "19700101T000001.000Z  closed  a" in told.output and "19700101T000005.000Z  open    a" in told.output
    rows = json.loads(run("usage", "show", "--folder", ledger, "--json", "--period", "19700101T000001").output)["rows"]
    assert [(row["club"], row["requests"], row["run_us"], row["bytes_out"]) for row in rows] == [("a", 1, 2500, 20)]
    lines = run("usage", "show", "--folder", ledger, "--format", "csv", "--club", "a").output.splitlines()
    assert len(lines) == 3 and lines[1] == "19700101T000001.000Z,closed,a,look,http,served,1,0,0,2500,1,7,20"


def test_a_folder_without_a_ledger_and_a_ledger_without_a_name_are_told(tmp_path):
    told = run("usage", "show", "--folder", tmp_path)
    assert told.exit_code == 1 and "holds no ledger" in told.output
    assert run("usage", "show").exit_code == 2
    off = run("usage", "show", "--settings", ROOT / "deploy" / "flintshift.yaml")
    assert off.exit_code == 2 and "usage is off there" in off.output


def test_corrections_change_open_periods_and_revise_closed_ones(ledger):
    closed = run("usage", "correct", "--folder", ledger, "--period", "19700101T000001.000Z", *CORRECT)
    assert (closed.exit_code, closed.output) == (0, "makes revision 1 of the period, which has closed\n")
    again = run("usage", "correct", "--folder", ledger, "--period", "19700101T000001.000Z", *CORRECT)
    assert (again.exit_code, again.output) == (0, "was taken before; nothing changes\n")
    clash = run("usage", "correct", "--folder", ledger, "--period", "19700101T000005.000Z", *CORRECT)
    assert clash.exit_code == 3 and "taken before with another content" in clash.output
    assert sorted(path.name for path in (ledger / "documents").iterdir())[1].endswith(".r1.usage")
    rows = json.loads(run("usage", "show", "--folder", ledger, "--json").output)["rows"]
    assert [(row["state"], row["requests"]) for row in rows] == [("closed, revision 1", 3), ("open", 1)]


@pytest.mark.parametrize(
    ("words", "code", "text"),
    [
        (["--period", "19700101T000009.000Z", *CORRECT], 3, "no period begins at 9000 ms"),
        (["--period", "yesterday", *CORRECT], 2, "is no begin of a period"),
        (["--period", "19701301T000000.000Z", *CORRECT], 2, "is no date"),
        (["--period", "19700101T000001.000Z", *CORRECT, "--by", "calls=-9"], 3, "calls: 1 and -9 is below zero"),
        (["--period", "19700101T000001.000Z", *CORRECT, "--by", "cows=1"], 2, "expected one of requests"),
        (["--period", "19700101T000001.000Z", *CORRECT[:1], "../x", *CORRECT[2:]], 2, "--id is 1 to 64"),
    ],
)
def test_a_correction_that_is_not_possible_is_refused_with_the_reason(ledger, words, code, text):
    told = run("usage", "correct", "--folder", ledger, *words)
    assert told.exit_code == code and text in told.output


def test_export_to_a_folder_and_reconcile(ledger, tmp_path):
    told = run("usage", "export", "--folder", ledger, "--to-folder", tmp_path / "out")
    assert told.exit_code == 0 and "1 delivered, 0 left" in told.output
    assert run("usage", "export", "--folder", ledger, "--to-folder", tmp_path / "out").exit_code == 0
    good = run("usage", "reconcile", tmp_path / "out")
    assert (good.exit_code, good.stdout) == (0, "1 documents, 0 findings\n")
    (tmp_path / "count.csv").write_text("club,requests\na,4\n")
    told = run("usage", "reconcile", tmp_path / "out", "--counted", tmp_path / "count.csv", "--json")
    assert told.exit_code == 3
    assert [(one["club"], one["by"]) for one in json.loads(told.stdout)] == [("a", -3)]
    (tmp_path / "out" / "junk.usage").write_bytes(b"\xff")
    assert run("usage", "reconcile", tmp_path / "out").exit_code == 1
    assert run("usage", "export", "--folder", ledger).exit_code == 2  # no sink


def test_export_to_a_sink_that_is_down_ends_with_3_and_leaves_all(ledger):
    told = run(
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
    assert told.exit_code == 3 and "0 delivered, 1 left" in told.output and "export.not_delivered" in told.output


def test_a_damaged_ledger_is_named(ledger):
    log = next((ledger / "log").iterdir())
    data = bytearray(log.read_bytes())
    data[30] ^= 1
    log.write_bytes(data)
    told = run("usage", "show", "--folder", ledger)
    assert told.exit_code == 1 and f"{log}: is damaged: offset" in told.output


def test_run_without_a_usable_file_exits_with_2(tmp_path):
    (tmp_path / "bad.yaml").write_text("uwsgi: {enabled: maybe}\n")
    told = subprocess.run(
        [sys.executable, "-m", "flintshift.cli", "run", "--settings", str(tmp_path / "bad.yaml")],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=False,
        env={},
    )
    assert told.returncode == 2 and "uwsgi.enabled: expected true or false, found 'maybe'" in told.stderr


def test_the_demo_books_what_its_callers_counted():
    told = subprocess.run(
        [sys.executable, "-m", "flintshift.cli", "demo", "--seconds", "1", "--json"],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=False,
    )
    result = json.loads(told.stdout)
    assert told.returncode == 0 and result["counted"] == result["booked"] and sum(result["counted"].values()) > 20
