"""``flintshift usage``: what was booked, corrections, export, reconciliation."""

from __future__ import annotations

import json
import re
import sys
import time
from collections.abc import Callable
from datetime import UTC, datetime
from functools import wraps
from pathlib import Path
from typing import Any

import click

from flintshift.storage.files import DiskFiles, LockedError
from flintshift.storage.snapshot import DamagedError, publish
from flintshift.usage import documents
from flintshift.usage.accounts import split_row_key
from flintshift.usage.documents import utc
from flintshift.usage.folder import LedgerFolder, load, read_documents, unacknowledged
from flintshift.usage.records import AMOUNTS, FRONTS, OUTCOMES

FILES = DiskFiles()
MOMENT = re.compile(r"\d{8}T\d{6}\.\d{3}Z")


def fail(text: str, code: int) -> None:
    click.echo(f"flintshift: {text}", err=True)
    sys.exit(code)


def folder_options(command: Callable[..., None]) -> Callable[..., None]:
    """Every command finds its ledger by --folder, or by the operators' file."""

    @click.option("--folder", type=click.Path(path_type=Path, file_okay=False), help="The ledger's folder.")
    @click.option(
        "--settings",
        type=click.Path(path_type=Path, dir_okay=False),
        metavar="FILE",
        help="The operators' file that names the folder, where --folder does not.",
    )
    @wraps(command)
    def found(folder: Path | None, settings: Path | None, **more: Any) -> None:
        if folder is None and settings is None:
            raise click.UsageError("name the ledger by --folder FOLDER or --settings FILE")
        options = None
        if settings is not None:
            from flintshift.settings.operators import FaultsError, read_operators_file

            try:
                options = read_operators_file(settings).usage
            except FaultsError as error:
                fail(str(error), 2)
            if options is None and folder is None:
                fail(f"{settings}: usage is off there", 2)
        folder = folder or options.folder  # type: ignore[union-attr]
        if not (folder / "log").is_dir():
            fail(f"{folder}: holds no ledger", 1)
        try:
            command(folder=folder, options=options, **more)
        except BrokenPipeError:  # who reads the output has seen enough
            raise
        except DamagedError as error:
            fail(str(error), 1)
        except (OSError, LockedError) as error:
            fail(str(error), 1)

    return found


@click.group()
def usage() -> None:
    """The ledger of use: show it, correct it, export it, reconcile it.

    A running node's folder can be shown, exported and corrected too.
    """


@usage.command()
@folder_options
@click.option("--period", help="Only periods whose begin starts with this, such as 20261201T16.")
@click.option("--club", help="Only this club.")
@click.option("--format", "form", type=click.Choice(["table", "json", "csv"]), default="table", show_default=True)
@click.option("--json", "as_json", is_flag=True, help="The same as --format json.")
def show(folder: Path, options: Any, period: str | None, club: str | None, form: str, as_json: bool) -> None:
    """Show what was booked, by period, club, class, front and outcome; open periods too."""
    book, _, found = load(FILES, folder)
    standing = {document.number: document for document in read_documents(FILES, folder).values()}
    for made in book.state.documents:
        standing.setdefault(made.number, documents.parse(made.data))
    rows: list[dict[str, Any]] = []
    by_period: dict[int, list[Any]] = {}
    for document in standing.values():
        by_period.setdefault(document.period_ms, []).append(document)
    for begin, parts in sorted(by_period.items()):
        state = "closed" if len(parts) == 1 else f"closed, revision {max(part.revision for part in parts)}"
        rows += _rows(begin, state, documents.totals(parts))
    for begin, totals in book.totals().items():
        rows += _rows(begin, "open", totals)
    rows = [
        row
        for row in rows
        if (not period or row["period"].startswith(period))
        and (not club or row["club"] == club)
        and any(row[name] for name in AMOUNTS)
    ]
    doubt = [
        {"id": entry.id.hex(), "period": utc(document.period_ms), "club": entry.row.club}
        for document in standing.values()
        for entry in document.in_doubt
    ]
    doubt += [
        {"id": id_.hex(), "period": utc(begin), "club": split_row_key(key)[0]}
        for begin, part in sorted(book.state.periods.items())
        for id_, key, _ in part.doubted
    ]
    on_way = [
        {"id": waiting.claim.id.hex(), "period": utc(waiting.period), "club": book.row_key(waiting.claim.row)[0]}
        for waiting in book.state.waiting.values()
    ]
    if as_json or form == "json":
        click.echo(
            json.dumps(
                {
                    "node": book.state.node,
                    "epoch": book.state.epoch,
                    "rows": rows,
                    "in_doubt": doubt,
                    "on_their_way": on_way,
                    "warnings": found.warnings,
                },
                indent=2,
            )
        )
        return
    if form == "csv":
        click.echo(",".join(("period", "state", "club", "class", "front", "outcome", *AMOUNTS)))
        for row in rows:
            click.echo(",".join(f'"{value}"' if "," in str(value) else str(value) for value in row.values()))
        return
    click.echo(
        f"node {book.state.node}, epoch {book.state.epoch}, {len(standing)} documents, {book.state.sequence:,} records"
    )
    head = (
        "period",
        "state",
        "club",
        "class",
        "front",
        "outcome",
        "requests",
        "again",
        "kept",
        "run s",
        "calls",
        "kB in",
        "kB out",
    )
    table = [head]
    for row in rows:
        table.append(
            (
                *list(row.values())[:6],
                f"{row['requests']:,}",
                f"{row['further_tries']:,}",
                f"{row['kept']:,}",
                f"{row['run_us'] / 1e6:,.3f}",
                f"{row['calls']:,}",
                f"{row['bytes_in'] / 1000:,.1f}",
                f"{row['bytes_out'] / 1000:,.1f}",
            )
        )
    widths = [max(len(line[place]) for line in table) for place in range(len(head))]
    for line in table:
        click.echo(
            "  ".join(
                text.ljust(width) if place < 6 else text.rjust(width)
                for place, (text, width) in enumerate(zip(line, widths, strict=True))
            ).rstrip()
        )
    for entry in doubt:
        click.echo(f"in doubt: {entry['id']} of {entry['club']}, {entry['period']}")
    if on_way:
        click.echo(f"{len(on_way)} answers were on their way when the log was read")
    for warning in found.warnings:
        click.echo(f"warning: {warning}", err=True)


def _rows(begin: int, state: str, totals: dict[documents.RowKey, list[int]]) -> list[dict[str, Any]]:
    return [
        {
            "period": utc(begin),
            "state": state,
            "club": names[0],
            "class": names[1],
            "front": names[2],
            "outcome": names[3],
            **dict(zip(AMOUNTS, row, strict=True)),
        }
        for names, row in sorted(totals.items())
    ]


class Moment(click.ParamType):
    name = "YYYYMMDDTHHMMSS.mmmZ"

    def convert(self, value: Any, param: Any, ctx: Any) -> int:
        if not MOMENT.fullmatch(str(value)):
            self.fail(f"{value!r} is no begin of a period, such as 20261201T160000.000Z", param, ctx)
        try:
            at = datetime.strptime(value[:15], "%Y%m%dT%H%M%S").replace(tzinfo=UTC)
        except ValueError:
            self.fail(f"{value!r} is no date", param, ctx)
        return int(at.timestamp()) * 1000 + int(value[16:19])


@usage.command()
@folder_options
@click.option("--id", "id_", required=True, help="Of this correction; the same one twice changes nothing.")
@click.option("--author", required=True)
@click.option("--reason", required=True)
@click.option("--period", type=Moment(), required=True, help="Its begin, as `usage show` prints it.")
@click.option("--club", required=True)
@click.option("--class", "class_name", required=True)
@click.option("--front", type=click.Choice(FRONTS), required=True)
@click.option("--outcome", type=click.Choice(OUTCOMES), required=True)
@click.option(
    "--wait",
    type=click.FloatRange(0, 600),
    default=10.0,
    show_default=True,
    help="Seconds for a running node to answer.",
)
@click.option(
    "--by",
    "by",
    multiple=True,
    metavar="AMOUNT=N",
    required=True,
    help=f"What to add, negative to take away: {', '.join(AMOUNTS)}. May be given more than once.",
)
def correct(
    folder: Path,
    options: Any,
    id_: str,
    period: int,
    by: tuple[str, ...],
    wait: float,
    author: str,
    reason: str,
    club: str,
    class_name: str,
    front: str,
    outcome: str,
) -> None:
    """Correct a row of a period.

    An open period is changed. A period that has closed gets a numbered revision with the difference; its documents
    stay as they are. While a node runs on the folder the correction is handed to it; else it is booked here.
    """
    import anyio

    from flintshift.usage.corrections import to_json
    from flintshift.usage.messages import CorrectionRequested

    amounts = [0] * len(AMOUNTS)
    for text in by:
        name, found, value = text.partition("=")
        if name not in AMOUNTS or not found or not re.fullmatch(r"[+-]?\d{1,19}", value):
            raise click.UsageError(f"--by {text}: expected one of {', '.join(AMOUNTS)}, = and a whole number")
        amounts[AMOUNTS.index(name)] += int(value)
    asked = to_json(CorrectionRequested(id_, author, reason, period, club, class_name, front, outcome, tuple(amounts)))
    if not re.fullmatch(r"[A-Za-z0-9._-]{1,64}", id_):
        raise click.UsageError("--id is 1 to 64 of A-Z a-z 0-9 . _ -")
    try:
        taken, text = anyio.run(_correct_here, folder, asked)
    except LockedError:
        taken, text = _hand_in(folder, id_, asked, wait)
    click.echo(text, err=not taken)
    sys.exit(0 if taken else 3)


async def _correct_here(folder: Path, asked: bytes) -> tuple[bool, str]:
    from flintshift.storage.commit import CommitLimits
    from flintshift.usage.ledger import Ledger
    from flintshift.usage.periods import LedgerClock

    holder = LedgerFolder(FILES, folder)
    try:
        wall = time.time() * 1000
        ledger = Ledger(
            holder,
            0,
            CommitLimits(sync_enabled=False),
            False,
            0.0,
            [],
            LedgerClock(wall, 0.0, holder.accounts.state.last_ms),
            lambda: wall,
            lambda: 0.0,
            lambda *_, **__: None,
        )
        reply = ledger.correct(asked)
        if ledger.commit.gap is not None:
            return False, f"could not be written: {ledger.commit.gap.cause}"
        holder.log.sync()
        if holder.accounts.state.documents:
            holder.write_documents(holder.accounts.state.documents)
        return reply.taken, reply.text
    finally:
        holder.close()


def _hand_in(folder: Path, id_: str, asked: bytes, wait: float) -> tuple[bool, str]:
    reply = folder / "replies" / f"{id_}.json"
    reply.unlink(missing_ok=True)
    publish(FILES, folder / "inbox" / reply.name, asked)
    until = time.monotonic() + wait
    while not reply.exists():
        if time.monotonic() >= until:
            fail(f"handed in; the node has not answered in {wait:g} s: look for {reply}", 1)
        time.sleep(0.05)
    told = json.loads(reply.read_bytes())
    reply.unlink(missing_ok=True)
    return bool(told["taken"]), str(told["text"])


@usage.command()
@folder_options
@click.option("--to-folder", type=click.Path(path_type=Path, file_okay=False), help="Publish documents here.")
@click.option("--to-url", help="Send documents to the billing system at this address.")
@click.option("--timeout", type=click.FloatRange(0.01, 300), default=10.0, show_default=True, help="Seconds.")
@click.option(
    "--wait",
    type=click.FloatRange(0, 86_400),
    default=60.0,
    show_default=True,
    help="Seconds until what is left is given up on, to be delivered by a later run.",
)
@click.option(
    "--backoff",
    type=click.FloatRange(0.001, 3600),
    default=1.0,
    show_default=True,
    help="Seconds: the first wait after an attempt that failed.",
)
@click.option("--quiet", is_flag=True, help="No progress.")
def export(
    folder: Path,
    options: Any,
    to_folder: Path | None,
    to_url: str | None,
    timeout: float,
    wait: float,
    backoff: float,
    quiet: bool,
) -> None:
    """Deliver each closed period once to each sink; a running node that exports does this by itself.

    The sinks are those of the operators' file, or --to-folder and --to-url. It ends once all is delivered (0), or
    with 3 where documents are left or were put aside.
    """
    import anyio

    from flintshift.lifecycle.exports import create_export
    from flintshift.settings.options import ExportOptions, HttpSinkOptions

    told = options.export if options is not None else None
    if to_folder is not None or to_url is not None:
        http = HttpSinkOptions(to_url, timeout * 1000) if to_url is not None else None
        told = ExportOptions(to_folder, http, backoff * 1000, max(backoff * 1000, 300_000.0), 100_000)
    if told is None:
        raise click.UsageError("no sink: give --to-folder, --to-url, or usage.export in the operators' file")
    count = 0

    def say(level: str, event: str, **more: Any) -> None:
        nonlocal count
        if event == "export.delivered":
            count += 1
            if not quiet:
                click.echo(f"{count}: {more['name']} -> {more['sink']}", err=True)
        elif level in ("warning", "error"):
            click.echo(f"{event}: " + " ".join(f"{name}={value}" for name, value in more.items()), err=True)

    runs = create_export(folder, told, say, until_done=True)

    async def deliver() -> None:
        with anyio.move_on_after(wait):
            await runs.run()

    try:
        anyio.run(deliver)
    except* LockedError as errors:
        fail(str(errors.exceptions[0]), 1)
    except* (OSError, DamagedError) as errors:
        fail("; ".join(map(str, errors.exceptions)), 1)
    left = sum(map(len, unacknowledged(FILES, folder, list(runs.sinks)).values()))
    click.echo(f"{count} delivered, {left} left", err=quiet)
    sys.exit(3 if left else 0)


@usage.command()
@click.argument("files", nargs=-1, required=True, type=click.Path(path_type=Path))
@click.option(
    "--counted",
    type=click.Path(path_type=Path, dir_okay=False),
    metavar="CSV",
    help="A count of the callers' side: requests, and any of node, period, club.",
)
@click.option("--json", "as_json", is_flag=True, help="Print the findings as a JSON array.")
def reconcile(files: tuple[Path, ...], counted: Path | None, as_json: bool) -> None:
    """Compare documents of any number of nodes: FILES are documents, or folders that hold them.

    Finds gaps, overlaps, broken chains, two lives with one epoch, and totals that differ from a count.
    """
    from dataclasses import asdict

    from flintshift.usage.reconcile import check_documents, compare_totals, parse_caller_counts

    paths = [
        inner for path in files for inner in (sorted(path.rglob(f"*{documents.SUFFIX}")) if path.is_dir() else [path])
    ]
    if not paths:
        fail("no documents there", 1)
    found, faults = [], []
    with click.progressbar(paths, label="reading", file=sys.stderr, hidden=not sys.stderr.isatty()) as progress:
        for path in progress:
            try:
                data = path.read_bytes()
                found.append((str(path), data, documents.parse(data)))
            except (OSError, documents.DocumentError) as error:
                faults.append(f"{path}: {error}")
    for fault in faults:
        click.echo(f"flintshift: {fault}", err=True)
    findings = check_documents(found)
    if counted is not None:
        once = {documents.compute_digest(data): document for _, data, document in found}
        try:
            findings += compare_totals(once.values(), parse_caller_counts(counted.read_text(encoding="utf-8")))
        except (OSError, ValueError) as error:
            fail(f"{counted}: {error}", 2)
    if as_json:
        click.echo(json.dumps([asdict(finding) for finding in findings]))
    else:
        for finding in findings:
            click.echo(str(finding))
        click.echo(f"{len(found)} documents, {len(findings)} findings")
    sys.exit(1 if faults else 3 if findings else 0)
