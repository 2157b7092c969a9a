"""``flintshift usage``: show, correct, export and reconcile the usage ledger."""

from __future__ import annotations

import json
import re
import sys
from collections.abc import Callable
from datetime import UTC, datetime
from functools import wraps
from pathlib import Path
from typing import Any

import click

from flintshift.storage.files import DiskFiles, LockedError
from flintshift.storage.snapshot import DamagedError
from flintshift.usage import documents
from flintshift.usage.accounts import split_row_key
from flintshift.usage.documents import utc
from flintshift.usage.folder import load, read_documents, unacknowledged
from flintshift.usage.records import AMOUNTS, FRONTS, OUTCOMES

FILES = DiskFiles()
PERIOD_BEGIN_PATTERN = re.compile(r"\d{8}T\d{6}\.\d{3}Z")


def fail(text: str, code: int) -> None:
    """Print ``text`` as an error and exit with ``code``."""
    click.echo(f"flintshift: {text}", err=True)
    sys.exit(code)


def folder_options(command: Callable[..., None]) -> Callable[..., None]:
    """Decorate a command with --folder and --settings, and pass it the ledger's folder and the usage options.

    Errors of the folder end the command with exit code 1.
    """

    @click.option("--folder", type=click.Path(path_type=Path, file_okay=False), help="The ledger's folder.")
    @click.option(
        "--settings",
        type=click.Path(path_type=Path, dir_okay=False),
        metavar="FILE",
        help="The operators' file that gives the folder, if --folder does not.",
    )
    @wraps(command)
    def run_with_folder(folder: Path | None, settings: Path | None, **arguments: Any) -> None:
        if folder is None and settings is None:
            raise click.UsageError("give the ledger by --folder FOLDER or --settings FILE")
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
            command(folder=folder, options=options, **arguments)
        except BrokenPipeError:  # an OSError, but not of the folder: the reader of the output closed its end
            raise
        except DamagedError as error:
            fail(str(error), 1)
        except (OSError, LockedError) as error:
            fail(str(error), 1)

    return run_with_folder


@click.group()
def usage() -> None:
    """Show, correct, export and reconcile the usage ledger.

    The ledger of a running node can be shown, exported and corrected too.
    """


@usage.command()
@folder_options
@click.option("--period", help="Only periods whose start time begins with this, such as 20261201T16.")
@click.option("--club", help="Only this club.")
@click.option("--format", "form", type=click.Choice(["table", "json", "csv"]), default="table", show_default=True)
@click.option("--json", "as_json", is_flag=True, help="The same as --format json.")
def show(folder: Path, options: Any, period: str | None, club: str | None, form: str, as_json: bool) -> None:
    """Show the recorded use by period, club, class, front and outcome, open periods included."""
    accounts, _, recovery = load(FILES, folder)
    documents_by_number = {document.number: document for document in read_documents(FILES, folder).values()}
    for pending_document in accounts.state.documents:
        documents_by_number.setdefault(pending_document.number, documents.parse(pending_document.data))
    rows: list[dict[str, Any]] = []
    documents_by_period: dict[int, list[Any]] = {}
    for document in documents_by_number.values():
        documents_by_period.setdefault(document.period_ms, []).append(document)
    for begin, period_documents in sorted(documents_by_period.items()):
        state = (
            "closed"
            if len(period_documents) == 1
            else f"closed, revision {max(part.revision for part in period_documents)}"
        )
        rows += _format_rows(begin, state, documents.totals(period_documents))
    for begin, totals in accounts.totals().items():
        rows += _format_rows(begin, "open", totals)
    rows = [
        row
        for row in rows
        if (not period or row["period"].startswith(period))
        and (not club or row["club"] == club)
        and any(row[name] for name in AMOUNTS)
    ]
    in_doubt = [
        {"id": entry.id.hex(), "period": utc(document.period_ms), "club": entry.row.club}
        for document in documents_by_number.values()
        for entry in document.in_doubt
    ]
    in_doubt += [
        {"id": id_.hex(), "period": utc(begin), "club": split_row_key(key)[0]}
        for begin, part in sorted(accounts.state.periods.items())
        for id_, key, _ in part.doubted
    ]
    in_transit = [
        {"id": waiting.claim.id.hex(), "period": utc(waiting.period), "club": accounts.row_key(waiting.claim.row)[0]}
        for waiting in accounts.state.waiting.values()
    ]
    if as_json or form == "json":
        click.echo(
            json.dumps(
                {
                    "node": accounts.state.node,
                    "epoch": accounts.state.epoch,
                    "rows": rows,
                    "in_doubt": in_doubt,
                    "on_their_way": in_transit,
                    "warnings": recovery.warnings,
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
        f"node {accounts.state.node}, epoch {accounts.state.epoch}, {len(documents_by_number)} documents, "
        f"{accounts.state.sequence:,} records"
    )
    headings = (
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
    table = [headings]
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
    widths = [max(len(line[column]) for line in table) for column in range(len(headings))]
    for line in table:
        click.echo(
            "  ".join(
                text.ljust(width) if column < 6 else text.rjust(width)
                for column, (text, width) in enumerate(zip(line, widths, strict=True))
            ).rstrip()
        )
    for entry in in_doubt:
        click.echo(f"in doubt: {entry['id']} of {entry['club']}, {entry['period']}")
    if in_transit:
        click.echo(f"{len(in_transit)} answers were still in transit when the log was read")
    for warning in recovery.warnings:
        click.echo(f"warning: {warning}", err=True)


def _format_rows(begin: int, state: str, totals: dict[documents.RowKey, list[int]]) -> list[dict[str, Any]]:
    return [
        {
            "period": utc(begin),
            "state": state,
            "club": row_key[0],
            "class": row_key[1],
            "front": row_key[2],
            "outcome": row_key[3],
            **dict(zip(AMOUNTS, amounts, strict=True)),
        }
        for row_key, amounts in sorted(totals.items())
    ]


class PeriodBegin(click.ParamType):
    """Start of a period in UTC on the command line, converted to epoch milliseconds."""

    name = "YYYYMMDDTHHMMSS.mmmZ"

    def convert(self, value: Any, param: Any, ctx: Any) -> int:
        if not PERIOD_BEGIN_PATTERN.fullmatch(str(value)):
            self.fail(f"{value!r} is not the start of a period, such as 20261201T160000.000Z", param, ctx)
        try:
            moment = datetime.strptime(value[:15], "%Y%m%dT%H%M%S").replace(tzinfo=UTC)
        except ValueError:
            self.fail(f"{value!r} is not a date", param, ctx)
        return int(moment.timestamp()) * 1000 + int(value[16:19])


@usage.command()
@folder_options
@click.option("--id", "id_", required=True, help="Id of this correction; the same correction again changes nothing.")
@click.option("--author", required=True)
@click.option("--reason", required=True)
@click.option("--period", type=PeriodBegin(), required=True, help="Start of the period, as `usage show` prints it.")
@click.option("--club", required=True)
@click.option("--class", "class_name", required=True)
@click.option("--front", type=click.Choice(FRONTS), required=True)
@click.option("--outcome", type=click.Choice(OUTCOMES), required=True)
@click.option(
    "--wait",
    type=click.FloatRange(0, 600),
    default=10.0,
    show_default=True,
    help="Seconds to wait for a running node's answer.",
)
@click.option(
    "--by",
    "by",
    multiple=True,
    metavar="AMOUNT=N",
    required=True,
    help=f"Amount to add, negative to subtract: {', '.join(AMOUNTS)}. May be given more than once.",
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

    A row of an open period is changed. A closed period gets a numbered revision with the difference; its documents
    stay as they are. If a node runs on the folder, it is sent the correction; otherwise it is recorded here, or, where
    other members hold replicas of the ledger, left for the node, which processes it once it has the ledger again.
    """
    from flintshift.cli.corrections import NoReplyError, ReplicaFolderError, submit_correction
    from flintshift.usage.corrections import to_json
    from flintshift.usage.messages import CorrectionRequested

    amounts = [0] * len(AMOUNTS)
    for text in by:
        name, separator, value = text.partition("=")
        if name not in AMOUNTS or not separator or not re.fullmatch(r"[+-]?\d{1,19}", value):
            raise click.UsageError(f"--by {text}: expected one of {', '.join(AMOUNTS)}, = and a whole number")
        amounts[AMOUNTS.index(name)] += int(value)
    correction = to_json(
        CorrectionRequested(id_, author, reason, period, club, class_name, front, outcome, tuple(amounts))
    )
    if not re.fullmatch(r"[A-Za-z0-9._-]{1,64}", id_):
        raise click.UsageError("--id is 1 to 64 of A-Z a-z 0-9 . _ -")
    try:
        reply = submit_correction(FILES, folder, id_, correction, wait)
    except (ReplicaFolderError, NoReplyError) as error:
        fail(str(error), 1)
    click.echo(reply.text, err=not reply.taken)
    sys.exit(0 if reply.taken else 3)


@usage.command()
@folder_options
@click.option("--to-folder", type=click.Path(path_type=Path, file_okay=False), help="Publish documents in this folder.")
@click.option("--to-url", help="Send documents to the billing system at this address.")
@click.option("--timeout", type=click.FloatRange(0.01, 300), default=10.0, show_default=True, help="Seconds.")
@click.option(
    "--wait",
    type=click.FloatRange(0, 86_400),
    default=60.0,
    show_default=True,
    help="Seconds after which the export stops; a later run delivers the remaining documents.",
)
@click.option(
    "--backoff",
    type=click.FloatRange(0.001, 3600),
    default=1.0,
    show_default=True,
    help="Seconds to wait after the first failed attempt.",
)
@click.option("--quiet", is_flag=True, help="Print no progress.")
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
    """Deliver each closed period once to each sink; a running node with export enabled does this by itself.

    The sinks are those of the operators' file, or --to-folder and --to-url. The exit code is 0 once all documents
    are delivered, and 3 if documents remain or were set aside.
    """
    import anyio

    from flintshift.lifecycle.exports import create_export
    from flintshift.settings.options import ExportOptions, HttpSinkOptions

    export_options = options.export if options is not None else None
    if to_folder is not None or to_url is not None:
        http_sink = HttpSinkOptions(to_url, timeout * 1000) if to_url is not None else None
        export_options = ExportOptions(to_folder, http_sink, backoff * 1000, max(backoff * 1000, 300_000.0), 100_000)
    if export_options is None:
        raise click.UsageError("no sink: give --to-folder, --to-url, or usage.export in the operators' file")
    delivered = 0

    def print_event(level: str, event: str, **event_fields: Any) -> None:
        nonlocal delivered
        if event == "export.delivered":
            delivered += 1
            if not quiet:
                click.echo(f"{delivered}: {event_fields['name']} -> {event_fields['sink']}", err=True)
        elif level in ("warning", "error"):
            click.echo(f"{event}: " + " ".join(f"{name}={value}" for name, value in event_fields.items()), err=True)

    exporter = create_export(folder, export_options, print_event, until_done=True)

    async def run_export() -> None:
        with anyio.move_on_after(wait):
            await exporter.run()

    try:
        anyio.run(run_export)
    except* LockedError as errors:
        fail(str(errors.exceptions[0]), 1)
    except* (OSError, DamagedError) as errors:
        fail("; ".join(map(str, errors.exceptions)), 1)
    remaining = sum(map(len, unacknowledged(FILES, folder, list(exporter.sinks)).values()))
    click.echo(f"{delivered} delivered, {remaining} left", err=quiet)
    sys.exit(3 if remaining else 0)


@usage.command()
@click.argument("files", nargs=-1, required=True, type=click.Path(path_type=Path))
@click.option(
    "--counted",
    type=click.Path(path_type=Path, dir_okay=False),
    metavar="CSV",
    help="Counts taken by the callers: a column requests, and any of node, period, club.",
)
@click.option("--json", "as_json", is_flag=True, help="Print the findings as a JSON array.")
def reconcile(files: tuple[Path, ...], counted: Path | None, as_json: bool) -> None:
    """Check the documents of any number of nodes: FILES are documents, or folders of documents.

    Reports gaps, overlaps, broken chains, two incarnations with one epoch, and totals that differ from a count.
    """
    from dataclasses import asdict

    from flintshift.usage.reconcile import check_documents, compare_totals, parse_caller_counts

    paths = [
        document_path
        for path in files
        for document_path in (sorted(path.rglob(f"*{documents.SUFFIX}")) if path.is_dir() else [path])
    ]
    if not paths:
        fail("no documents found", 1)
    parsed_documents, read_errors = [], []
    with click.progressbar(paths, label="reading", file=sys.stderr, hidden=not sys.stderr.isatty()) as progress:
        for path in progress:
            try:
                data = path.read_bytes()
                parsed_documents.append((str(path), data, documents.parse(data)))
            except (OSError, documents.DocumentError) as error:
                read_errors.append(f"{path}: {error}")
    for read_error in read_errors:
        click.echo(f"flintshift: {read_error}", err=True)
    findings = check_documents(parsed_documents)
    if counted is not None:
        distinct_documents = {documents.compute_digest(data): document for _, data, document in parsed_documents}
        try:
            findings += compare_totals(
                distinct_documents.values(), parse_caller_counts(counted.read_text(encoding="utf-8"))
            )
        except (OSError, ValueError) as error:
            fail(f"{counted}: {error}", 2)
    if as_json:
        click.echo(json.dumps([asdict(finding) for finding in findings]))
    else:
        for finding in findings:
            click.echo(str(finding))
        click.echo(f"{len(parsed_documents)} documents, {len(findings)} findings")
    sys.exit(1 if read_errors else 3 if findings else 0)
