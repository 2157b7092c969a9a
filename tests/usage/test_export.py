"""Tests of the exporter: its state machine, its sinks against a faulty billing system, and two exporters at once."""

from __future__ import annotations

import asyncio
import contextlib
import random
import time
from pathlib import Path
from types import SimpleNamespace

import anyio
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from storage.sim_files import SimFiles

from flintshift.core.limits import Limits
from flintshift.lab.billing import FAULTS, Billing
from flintshift.lifecycle import exports
from flintshift.proto import usage_pb2 as pb
from flintshift.settings.options import ExportOptions, UsageOptions
from flintshift.storage.files import DiskFiles, LockedError
from flintshift.usage import documents
from flintshift.usage.export_driver import ExportDriver, delivery_order
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
from flintshift.usage.sinks import MAX_RESPONSE_BYTES, FolderSink, HttpSink, interpret_response
from flintshift.wire.http_client import BoundedTransport

HOUR_MS = 3_600_000.0


def make_document(number, node="n1"):
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
    data_by_name = {}
    for subfolder in ("documents", "acks"):
        (path / subfolder).mkdir(parents=True)
    for number in range(1, count + 1):
        made_document = make_document(number)
        data_by_name[documents.document_name(made_document)] = documents.serialize(made_document)
        (path / "documents" / documents.document_name(made_document)).write_bytes(documents.serialize(made_document))
    return data_by_name


def make_driver(path, sinks, backoff_ms=2.0, events=None, attempts=100_000):
    def log_event(level, event, **fields):
        if events is not None:
            events.append((event, fields))

    return ExportDriver(
        DiskFiles(),
        path,
        sinks,
        DeliveryConfig(backoff_ms, 50.0, attempts),
        random.Random(1).random,
        lambda: time.monotonic() * 1000,
        log_event,
        until_done=True,
    )


# The state machine.


def test_each_sink_gets_documents_in_order_and_one_at_a_time():
    exporter = Exporter(["x", "y"], DeliveryConfig(), lambda: 1.0, 0.0)
    assert exporter.handle(0, DocumentFound("x", "1")) == [Deliver("x", "1", 1)]
    assert exporter.handle(0, DocumentFound("x", "2")) == exporter.handle(0, DocumentFound("x", "1")) == []
    assert exporter.handle(0, DocumentFound("y", "1")) == [Deliver("y", "1", 1)]
    assert exporter.handle(5, Delivered("x", "1")) == [Acknowledge("x", "1"), Deliver("x", "2", 1)]
    assert exporter.handle(6, Delivered("x", "1")) == []  # reported twice


def test_a_sink_that_is_down_is_retried_with_growing_delays_and_no_busy_loop():
    exporter = Exporter(["x"], DeliveryConfig(100.0, 2000.0, 600), lambda: 1.0, 0.0)
    now_ms, delays = 0.0, []
    actions = exporter.handle(now_ms, DocumentFound("x", "1"))
    for _ in range(8):
        assert actions == [Deliver("x", "1", len(delays) + 1)]
        wake = next(
            action for action in exporter.handle(now_ms, NotDelivered("x", "1", "down")) if isinstance(action, WakeAt)
        )
        assert exporter.handle(now_ms, Tick()) == [wake]  # not earlier
        delays.append(wake.at_ms - now_ms)
        now_ms = wake.at_ms
        actions = exporter.handle(now_ms, Tick())
    assert delays == [100, 200, 400, 800, 1600, 2000, 2000, 2000]


@given(st.integers(1, 50), st.floats(0, 1), st.integers(0, 99))
@settings(deadline=None, derandomize=True)
def test_a_sink_that_is_down_costs_no_more_attempts_than_the_budget(budget, scale, seed):
    draw = random.Random(seed)
    exporter = Exporter(["x"], DeliveryConfig(10.0, 1000.0, budget), lambda: scale * draw.random(), 0.0)
    now_ms, attempts = 0.0, 0
    actions = exporter.handle(now_ms, DocumentFound("x", "1"))
    while now_ms < 6 * HOUR_MS:
        if any(isinstance(action, Deliver) for action in actions):
            attempts += 1
            actions = exporter.handle(now_ms, NotDelivered("x", "1", "down"))
        wakes = [action.at_ms for action in actions if isinstance(action, WakeAt)]
        assert wakes and min(wakes) > now_ms  # no busy loop
        now_ms = min(wakes)
        actions = exporter.handle(now_ms, Tick())
    assert attempts <= 7 * budget + 2  # a full bucket, and the budget of six hours


def test_a_sink_may_set_the_retry_delay_and_failures_raise_an_alarm():
    exporter = Exporter(["x"], DeliveryConfig(100.0, 2000.0, alarm_after=2), lambda: 0.5, 0.0)
    exporter.handle(0, DocumentFound("x", "1"))
    assert exporter.handle(0, NotDelivered("x", "1", "429", 7000.0)) == [WakeAt(7000.0)]
    assert exporter.handle(7000, Tick()) == [Deliver("x", "1", 2)]
    actions = exporter.handle(7000, NotDelivered("x", "1", "down"))
    assert Alarm("x", "1", "2 attempts in a row failed: down") in actions


def test_a_rejected_document_is_put_aside_and_the_next_is_delivered():
    exporter = Exporter(["x"], DeliveryConfig(), lambda: 0.5, 0.0)
    exporter.handle(0, DocumentFound("x", "1"))
    exporter.handle(0, DocumentFound("x", "2"))
    assert exporter.handle(0, Rejected("x", "1", "no")) == [Alarm("x", "1", "no"), Deliver("x", "2", 1)]
    exporter.handle(0, Delivered("x", "2"))
    assert exporter.handle(0, DocumentFound("x", "1")) == []  # not again by this exporter


def test_deliveries_stop_when_a_sink_has_rejected_too_many_documents():
    exporter = Exporter(["x", "y"], DeliveryConfig(max_queued=2, max_put_aside=3), lambda: 0.5, 0.0)
    for name in "abcd":  # more than fit in the queue, in which documents put aside take no place
        exporter.handle(0, DocumentFound("x", name))
        actions = exporter.handle(0, Rejected("x", name, "no"))
    assert exporter.sinks["x"].put_aside == {"a", "b", "c"} and exporter.sinks["x"].stopped
    assert actions == [] and exporter.done
    assert exporter.handle(0, DocumentFound("y", "a")) == [Deliver("y", "a", 1)] and not exporter.done


def test_a_superseded_exporter_delivers_nothing_more():
    exporter = Exporter(["x"], DeliveryConfig(), lambda: 0.5, 0.0)
    exporter.handle(0, DocumentFound("x", "1"))
    assert StopDelivery("x") in exporter.handle(0, Superseded("x", "later"))
    assert exporter.handle(0, DocumentFound("x", "2")) == exporter.handle(HOUR_MS, Tick()) == []


def test_the_queue_is_bounded_and_other_documents_are_found_again():
    exporter = Exporter(["x"], DeliveryConfig(max_queued=3), lambda: 0.5, 0.0)
    for name in "abcdef":
        exporter.handle(0, DocumentFound("x", name))
    assert exporter.sinks["x"].known == {"a", "b", "c"}
    exporter.handle(0, Delivered("x", "a"))
    exporter.handle(0, DocumentFound("x", "d"))
    assert exporter.sinks["x"].known == {"b", "c", "d"}


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
def test_interpretation_of_responses(status, answer, kind):
    assert type(interpret_response("n", "d", status, answer, "")) is kind


def test_retry_after_is_used_if_it_is_a_number():
    assert interpret_response("n", "d", 503, b"", "7").retry_after_ms == 7000
    assert interpret_response("n", "d", 503, b"", "Wed, 21 Oct").retry_after_ms == 0


# The sinks.


def http_sink(url, timeout_ms):
    return HttpSink(url, timeout_ms, BoundedTransport(Limits(), MAX_RESPONSE_BYTES))


@pytest.mark.anyio
@pytest.mark.parametrize("fault", FAULTS)
async def test_after_each_fault_of_a_billing_system_it_has_each_document_once(tmp_path, fault):
    data_by_name = folder_with(tmp_path / "u", 3)
    billing = Billing(tmp_path / "billing", late_s=0.05)
    billing.scripted_faults = [fault, "", fault, fault]
    url = f"http://127.0.0.1:{await billing.start()}/usage"
    driver = make_driver(tmp_path / "u", {"http": http_sink(url, 100.0)})
    with anyio.fail_after(20):
        await driver.run()
    assert {path.name: path.read_bytes() for path in (tmp_path / "billing").iterdir()} == data_by_name
    assert billing.fault_counts[fault] >= 2 and billing.conflicts == 0
    assert unacknowledged(DiskFiles(), tmp_path / "u", ["http"]) == {"http": []}
    billing.stop()


@pytest.mark.anyio
async def test_a_conflict_at_the_billing_system_raises_an_alarm_and_other_documents_are_delivered(tmp_path):
    data_by_name = folder_with(tmp_path / "u", 3)
    billing, events = Billing(tmp_path / "billing"), []
    (tmp_path / "billing" / sorted(data_by_name)[1]).write_bytes(b"something else")
    url = f"http://127.0.0.1:{await billing.start()}/usage"
    await make_driver(tmp_path / "u", {"http": http_sink(url, 1000.0)}, events=events).run()
    assert unacknowledged(DiskFiles(), tmp_path / "u", ["http"]) == {"http": [sorted(data_by_name)[1]]}
    assert [fields["name"] for event, fields in events if event == "export.alarm"] == [sorted(data_by_name)[1]]
    billing.stop()


@pytest.mark.anyio
async def test_an_exporter_of_an_earlier_epoch_is_rejected(tmp_path):
    folder_with(tmp_path / "u", 1)
    billing = Billing(tmp_path / "billing")
    billing.epochs[""] = 7
    url = f"http://127.0.0.1:{await billing.start()}/usage"
    await make_driver(tmp_path / "u", {"http": http_sink(url, 1000.0)}).run()
    assert not list((tmp_path / "billing").iterdir())
    assert unacknowledged(DiskFiles(), tmp_path / "u", ["http"])["http"]
    billing.stop()


@pytest.mark.anyio
async def test_a_second_exporter_on_a_folder_is_rejected_and_each_run_has_a_later_epoch(tmp_path):
    folder_with(tmp_path / "u", 2)
    lock = DiskFiles().lock(tmp_path / "u" / "EXPORT.LOCK")
    with pytest.raises(LockedError):
        await make_driver(tmp_path / "u", {"folder": FolderSink(DiskFiles(), tmp_path / "out")}).run()
    lock.close()
    for epoch in (1, 2):
        driver = make_driver(tmp_path / "u", {"folder": FolderSink(DiskFiles(), tmp_path / "out")})
        await driver.run()
        assert driver.epoch == epoch
    assert len(list((tmp_path / "out").iterdir())) == 2


def test_two_exporters_may_publish_the_same_document():
    files = SimFiles()
    first, second = FolderSink(files, Path("/out")), FolderSink(files, Path("/out"))
    assert first.put("n", b"data", 1) == Delivered("folder", "n")
    assert second.put("n", b"data", 2) == Delivered("folder", "n")
    assert isinstance(second.put("n", b"other", 2), Rejected)
    assert files.read(Path("/out/n")) == b"data" and files.names(Path("/out")) == ["n"]


def test_an_unfinished_file_of_a_killed_exporter_is_removed_by_the_next_delivery():
    files = SimFiles()
    for unfinished_name in ("n.1.new", "n.3.new", "m.1.new", "n.x.new"):
        files.make_folder(Path("/out"))
        files.create(Path("/out") / unfinished_name).append(b"da")
    assert FolderSink(files, Path("/out")).put("n", b"data", 2) == Delivered("folder", "n")
    # Files of another document are left to its own delivery, and those of a later exporter are not touched.
    assert files.names(Path("/out")) == ["m.1.new", "n", "n.3.new", "n.x.new"]


@pytest.mark.anyio
async def test_a_damaged_document_is_never_delivered(tmp_path):
    data_by_name = folder_with(tmp_path / "u", 2)
    (tmp_path / "u" / "documents" / sorted(data_by_name)[0]).write_bytes(b"\xff damaged")
    await make_driver(tmp_path / "u", {"folder": FolderSink(DiskFiles(), tmp_path / "out")}).run()
    assert [path.name for path in (tmp_path / "out").iterdir()] == [sorted(data_by_name)[1]]


def test_names_are_ordered_by_period_and_revision():
    names = [
        "n1.e1.19700101T000002.000Z.r0.usage",
        "n1.e9.19700101T000001.000Z.r10.usage",
        "n1.e1.19700101T000001.000Z.r2.usage",
    ]
    assert delivery_order(names) == [names[2], names[1], names[0]]


@pytest.mark.anyio
async def test_an_exporter_that_the_disk_stopped_is_restarted_in_the_node(tmp_path, monkeypatch):
    data_by_name, events = folder_with(tmp_path / "u", 2), []
    monkeypatch.setattr(exports, "RESTART_DELAY_S", 0.05)
    options = ExportOptions(tmp_path / "out", None, 1.0, 10.0, 100)
    usage = UsageOptions(tmp_path / "u", 1000, 0, "none", 0.0, "serve", 1 << 20, 0, options)

    class RefusingFiles(DiskFiles):
        refusals_left = 2

        def lock(self, path):
            if self.refusals_left:
                self.refusals_left -= 1
                raise OSError(5, "refused here")
            return super().lock(path)

    ledger = SimpleNamespace(
        folder=SimpleNamespace(files=RefusingFiles()), on_documents_published=None, replication=None
    )
    run = exports.create_export_actor(ledger, usage, lambda level, event, **fields: events.append(event))
    with anyio.move_on_after(10):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(run)
            while {path.name for path in (tmp_path / "out").glob("*")} != set(data_by_name):
                await anyio.sleep(0.02)
            tasks.cancel_scope.cancel()
    assert {path.name: path.read_bytes() for path in (tmp_path / "out").iterdir()} == data_by_name
    assert events.count("export.stopped") == 2


COSTLY_RESPONSES = {
    "a control character behind spaces": b"HTTP/1.1 200 OK\r\na:" + b" " * 60_000 + b"\0\r\n\r\n",
    "fields without an end": b"HTTP/1.1 200 OK\r\n" + b"a:\r\n" * 20_000,
    "a body without an end": b"HTTP/1.1 200 OK\r\n\r\n" + b"x" * 200_000,
}
MAX_STALL_S = 0.3


@pytest.mark.anyio
@pytest.mark.parametrize("response", COSTLY_RESPONSES.values(), ids=COSTLY_RESPONSES.keys())
async def test_a_response_that_is_costly_to_read_is_no_delivery_and_does_not_stop_the_event_loop(response):
    """Guards against a billing system whose one response keeps the whole node for seconds."""

    async def answer(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(response)
        with contextlib.suppress(OSError):
            await writer.drain()
        writer.close()

    server = await asyncio.start_server(answer, "127.0.0.1", 0)
    url = f"http://127.0.0.1:{server.sockets[0].getsockname()[1]}/usage"
    sink, stalls_s = http_sink(url, 5000.0), [0.0]

    async def watch_the_event_loop():
        while True:
            begin = time.monotonic()
            await asyncio.sleep(0.01)
            stalls_s.append(time.monotonic() - begin - 0.01)

    watching = asyncio.ensure_future(watch_the_event_loop())
    outcome = await sink.deliver("n1.e1.usage", b"data", 1)
    await asyncio.sleep(0.05)
    watching.cancel()
    server.close()
    assert isinstance(outcome, NotDelivered) and max(stalls_s) < MAX_STALL_S
