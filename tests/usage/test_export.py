"""The exporter: its heart by itself, its sinks against a billing system that misbehaves, and two of them at once."""

from __future__ import annotations

import random
import time
from pathlib import Path
from types import SimpleNamespace

import anyio
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from storage.sim_files import SimFiles

from flintshift.lab.billing import FAULTS, Billing
from flintshift.lifecycle import exports
from flintshift.proto import usage_pb2 as pb
from flintshift.settings.options import ExportOptions, UsageOptions
from flintshift.storage.files import DiskFiles, LockedError
from flintshift.usage import documents
from flintshift.usage.export_driver import ExportDriver, order
from flintshift.usage.exporter import DeliveryConfig, Exporter
from flintshift.usage.folder import unacknowledged
from flintshift.usage.messages import (
    Acknowledge,
    Alarm,
    Deliver,
    Delivered,
    DocumentFound,
    NotDelivered,
    Rejected,
    StopDelivery,
    Superseded,
    Tick,
    WakeAt,
)
from flintshift.usage.sinks import FolderSink, HttpSink, judged

HOUR = 3_600_000.0


def document(number, node="n1"):
    return pb.UsageDocument(
        schema=1,
        node=node,
        life=b"l" * 16,
        epoch=1,
        number=number,
        period_ms=number * 1000,
        length_ms=1000,
        rows=[documents.make_row(("a", "look", "http", "served"), [number] * 7)],
    )


def folder_with(path, count):
    made = {}
    for place in ("documents", "acks"):
        (path / place).mkdir(parents=True)
    for number in range(1, count + 1):
        one = document(number)
        made[documents.document_name(one)] = documents.serialize(one)
        (path / "documents" / documents.document_name(one)).write_bytes(documents.serialize(one))
    return made


def exporting(path, sinks, backoff_ms=2.0, said=None, attempts=100_000):
    def say(level, event, **more):
        if said is not None:
            said.append((event, more))

    return ExportDriver(
        DiskFiles(),
        path,
        sinks,
        DeliveryConfig(backoff_ms, 50.0, attempts),
        random.Random(1).random,
        lambda: time.monotonic() * 1000,
        say,
        until_done=True,
    )


# The heart.


def test_documents_go_in_their_order_one_at_a_time_to_each_sink():
    heart = Exporter(["x", "y"], DeliveryConfig(), lambda: 1.0, 0.0)
    assert heart.handle(0, DocumentFound("x", "1")) == [Deliver("x", "1", 1)]
    assert heart.handle(0, DocumentFound("x", "2")) == heart.handle(0, DocumentFound("x", "1")) == []
    assert heart.handle(0, DocumentFound("y", "1")) == [Deliver("y", "1", 1)]
    assert heart.handle(5, Delivered("x", "1")) == [Acknowledge("x", "1"), Deliver("x", "2", 1)]
    assert heart.handle(6, Delivered("x", "1")) == []  # told twice


def test_a_sink_that_is_down_is_tried_with_growing_waits_and_never_in_a_loop():
    heart = Exporter(["x"], DeliveryConfig(100.0, 2000.0, 600), lambda: 1.0, 0.0)
    now, waits = 0.0, []
    actions = heart.handle(now, DocumentFound("x", "1"))
    for _ in range(8):
        assert actions == [Deliver("x", "1", len(waits) + 1)]
        wake = next(one for one in heart.handle(now, NotDelivered("x", "1", "down")) if isinstance(one, WakeAt))
        assert heart.handle(now, Tick()) == [wake]  # not before
        waits.append(wake.at_ms - now)
        now = wake.at_ms
        actions = heart.handle(now, Tick())
    assert waits == [100, 200, 400, 800, 1600, 2000, 2000, 2000]


@given(st.integers(1, 50), st.floats(0, 1), st.integers(0, 99))
@settings(deadline=None, derandomize=True)
def test_a_day_without_the_sink_costs_no_more_than_the_budget(budget, low, seed):
    draw = random.Random(seed)
    heart = Exporter(["x"], DeliveryConfig(10.0, 1000.0, budget), lambda: low * draw.random(), 0.0)
    now, attempts = 0.0, 0
    actions = heart.handle(now, DocumentFound("x", "1"))
    while now < 6 * HOUR:
        if any(isinstance(one, Deliver) for one in actions):
            attempts += 1
            actions = heart.handle(now, NotDelivered("x", "1", "down"))
        wakes = [one.at_ms for one in actions if isinstance(one, WakeAt)]
        assert wakes and min(wakes) > now  # no busy loop
        now = min(wakes)
        actions = heart.handle(now, Tick())
    assert attempts <= 7 * budget + 2  # a full bucket, and six hours' worth


def test_a_sink_may_say_when_to_come_back_and_failures_raise_an_alarm():
    heart = Exporter(["x"], DeliveryConfig(100.0, 2000.0, alarm_after=2), lambda: 0.5, 0.0)
    heart.handle(0, DocumentFound("x", "1"))
    assert heart.handle(0, NotDelivered("x", "1", "429", 7000.0)) == [WakeAt(7000.0)]
    assert heart.handle(7000, Tick()) == [Deliver("x", "1", 2)]
    actions = heart.handle(7000, NotDelivered("x", "1", "down"))
    assert Alarm("x", "1", "2 attempts in a row failed: down") in actions


def test_what_is_rejected_is_put_aside_and_the_next_goes_on():
    heart = Exporter(["x"], DeliveryConfig(), lambda: 0.5, 0.0)
    heart.handle(0, DocumentFound("x", "1"))
    heart.handle(0, DocumentFound("x", "2"))
    assert heart.handle(0, Rejected("x", "1", "no")) == [Alarm("x", "1", "no"), Deliver("x", "2", 1)]
    heart.handle(0, Delivered("x", "2"))
    assert heart.handle(0, DocumentFound("x", "1")) == []  # not in this life


def test_a_sink_that_rejects_all_is_left_alone_at_a_bound_and_says_so():
    heart = Exporter(["x", "y"], DeliveryConfig(queue=2, put_aside=3), lambda: 0.5, 0.0)
    for name in "abcd":  # more than the queue holds: what was put aside takes no place in it
        heart.handle(0, DocumentFound("x", name))
        told = heart.handle(0, Rejected("x", name, "no"))
    assert heart.sinks["x"].put_aside == {"a", "b", "c"} and heart.sinks["x"].stands
    assert told == [] and heart.done
    assert heart.handle(0, DocumentFound("y", "a")) == [Deliver("y", "a", 1)] and not heart.done


def test_an_exporter_that_was_superseded_delivers_nothing_more():
    heart = Exporter(["x"], DeliveryConfig(), lambda: 0.5, 0.0)
    heart.handle(0, DocumentFound("x", "1"))
    assert StopDelivery("x") in heart.handle(0, Superseded("x", "later"))
    assert heart.handle(0, DocumentFound("x", "2")) == heart.handle(HOUR, Tick()) == []


def test_the_queue_is_bounded_and_what_was_left_out_is_found_again():
    heart = Exporter(["x"], DeliveryConfig(queue=3), lambda: 0.5, 0.0)
    for name in "abcdef":
        heart.handle(0, DocumentFound("x", name))
    assert heart.sinks["x"].known == {"a", "b", "c"}
    heart.handle(0, Delivered("x", "a"))
    heart.handle(0, DocumentFound("x", "d"))
    assert heart.sinks["x"].known == {"b", "c", "d"}


@pytest.mark.parametrize(
    ("status", "answer", "kind"),
    [
        (200, b'{"digest": "d"}', Delivered),
        (201, b'{"digest": "d"}', Delivered),
        (409, b'{"digest": "d"}', Delivered),
        (409, b'{"digest": "e"}', Rejected),
        (409, b"", NotDelivered),
        (200, b'{"digest": "e"}', NotDelivered),
        (200, b"junk", NotDelivered),
        (200, b"[]", NotDelivered),
        (412, b"", Superseded),
        (500, b"", NotDelivered),
        (429, b"", NotDelivered),
        (404, b"", Rejected),
        (301, b"", Rejected),
        (400, b'{"digest": "d"}', Rejected),
    ],
)
def test_what_an_answer_means(status, answer, kind):
    assert type(judged("n", "d", status, answer, "")) is kind


def test_retry_after_is_heeded_where_it_is_a_number():
    assert judged("n", "d", 503, b"", "7").retry_after_ms == 7000
    assert judged("n", "d", 503, b"", "Wed, 21 Oct").retry_after_ms == 0


# The sinks.


@pytest.mark.anyio
@pytest.mark.parametrize("fault", FAULTS)
async def test_each_fault_of_a_billing_system_ends_with_the_document_there_once(tmp_path, fault):
    made = folder_with(tmp_path / "u", 3)
    billing = Billing(tmp_path / "billing", late_s=0.05)
    billing.script = [fault, "", fault, fault]
    url = f"http://127.0.0.1:{await billing.start()}/usage"
    export = exporting(tmp_path / "u", {"http": HttpSink(url, 100.0)})
    with anyio.fail_after(20):
        await export.run()
    assert {path.name: path.read_bytes() for path in (tmp_path / "billing").iterdir()} == made
    assert billing.met[fault] >= 2 and billing.conflicts == 0
    assert unacknowledged(DiskFiles(), tmp_path / "u", ["http"]) == {"http": []}
    billing.stop()


@pytest.mark.anyio
async def test_a_billing_system_that_holds_something_else_is_told_of_and_the_rest_goes_on(tmp_path):
    made = folder_with(tmp_path / "u", 3)
    billing, said = Billing(tmp_path / "billing"), []
    (tmp_path / "billing" / sorted(made)[1]).write_bytes(b"something else")
    url = f"http://127.0.0.1:{await billing.start()}/usage"
    await exporting(tmp_path / "u", {"http": HttpSink(url, 1000.0)}, said=said).run()
    assert unacknowledged(DiskFiles(), tmp_path / "u", ["http"]) == {"http": [sorted(made)[1]]}
    assert [more["name"] for event, more in said if event == "export.alarm"] == [sorted(made)[1]]
    billing.stop()


@pytest.mark.anyio
async def test_an_exporter_of_an_earlier_epoch_is_refused(tmp_path):
    folder_with(tmp_path / "u", 1)
    billing = Billing(tmp_path / "billing")
    billing.epochs[""] = 7
    url = f"http://127.0.0.1:{await billing.start()}/usage"
    await exporting(tmp_path / "u", {"http": HttpSink(url, 1000.0)}).run()
    assert not list((tmp_path / "billing").iterdir())
    assert unacknowledged(DiskFiles(), tmp_path / "u", ["http"])["http"]
    billing.stop()


@pytest.mark.anyio
async def test_two_exporters_on_one_folder_are_refused_and_each_run_has_a_later_epoch(tmp_path):
    folder_with(tmp_path / "u", 2)
    held = DiskFiles().lock(tmp_path / "u" / "EXPORT.LOCK")
    with pytest.raises(LockedError):
        await exporting(tmp_path / "u", {"folder": FolderSink(DiskFiles(), tmp_path / "out")}).run()
    held.close()
    for epoch in (1, 2):
        run = exporting(tmp_path / "u", {"folder": FolderSink(DiskFiles(), tmp_path / "out")})
        await run.run()
        assert run.epoch == epoch
    assert len(list((tmp_path / "out").iterdir())) == 2


def test_of_two_exporters_that_publish_at_once_both_find_the_same_document():
    files = SimFiles()
    first, second = FolderSink(files, Path("/out")), FolderSink(files, Path("/out"))
    assert first.put("n", b"data", 1) == Delivered("folder", "n")
    assert second.put("n", b"data", 2) == Delivered("folder", "n")
    assert isinstance(second.put("n", b"other", 2), Rejected)
    assert files.read(Path("/out/n")) == b"data" and files.names(Path("/out")) == ["n"]


def test_what_a_killed_exporter_left_half_written_is_removed_by_the_next_delivery():
    files = SimFiles()
    for left in ("n.1.new", "n.3.new", "m.1.new", "n.x.new"):
        files.make_folder(Path("/out"))
        files.create(Path("/out") / left).append(b"da")
    assert FolderSink(files, Path("/out")).put("n", b"data", 2) == Delivered("folder", "n")
    # Another document's stays for its own delivery, and a later exporter's is not touched.
    assert files.names(Path("/out")) == ["m.1.new", "n", "n.3.new", "n.x.new"]


@pytest.mark.anyio
async def test_a_document_that_was_damaged_is_never_delivered(tmp_path):
    made = folder_with(tmp_path / "u", 2)
    (tmp_path / "u" / "documents" / sorted(made)[0]).write_bytes(b"\xff damaged")
    await exporting(tmp_path / "u", {"folder": FolderSink(DiskFiles(), tmp_path / "out")}).run()
    assert [path.name for path in (tmp_path / "out").iterdir()] == [sorted(made)[1]]


def test_names_are_in_the_order_of_periods_and_revisions():
    names = [
        "n1.e1.19700101T000002.000Z.r0.usage",
        "n1.e9.19700101T000001.000Z.r10.usage",
        "n1.e1.19700101T000001.000Z.r2.usage",
    ]
    assert order(names) == [names[2], names[1], names[0]]


@pytest.mark.anyio
async def test_an_exporter_in_a_node_that_was_stopped_by_its_disk_begins_again(tmp_path, monkeypatch):
    made, said = folder_with(tmp_path / "u", 2), []
    monkeypatch.setattr(exports, "AGAIN_S", 0.05)
    options = ExportOptions(tmp_path / "out", None, 1.0, 10.0, 100)
    usage = UsageOptions(tmp_path / "u", 1000, 0, "none", 0.0, "serve", 1 << 20, 0, options)

    class Files(DiskFiles):
        left = 2

        def lock(self, path):
            if self.left:
                self.left -= 1
                raise OSError(5, "refused here")
            return super().lock(path)

    ledger = SimpleNamespace(folder=SimpleNamespace(files=Files()), on_documents_published=None, replication=None)
    run = exports.open_export(ledger, usage, lambda level, event, **more: said.append(event))
    with anyio.move_on_after(10):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(run)
            while {path.name for path in (tmp_path / "out").glob("*")} != set(made):
                await anyio.sleep(0.02)
            tasks.cancel_scope.cancel()
    assert {path.name: path.read_bytes() for path in (tmp_path / "out").iterdir()} == made
    assert said.count("export.stopped") == 2
