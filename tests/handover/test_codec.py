"""The words of the handover on their link, and what a peer that lies or never answers costs."""

from __future__ import annotations

import functools
import socket

import anyio
import pytest
from anyio.abc import UNIXSocketStream

from flintshift.core.limits import Limits
from flintshift.handover import messages as say
from flintshift.handover.claims import AbandonAttempt, Agreement, SendToPeer
from flintshift.handover.phases import PhaseMachine, UnexpectedMessageError
from flintshift.interface import Outcome
from flintshift.wire.handover import HandoverLink
from flintshift.wire.handover_codec import FrameError, Unpacker, packed

WORDS = [
    say.Hello(1),
    say.Known(("pay", "k"), "r1", 9e12, b"\x00\xff", Outcome.OK, bytes(range(256))),
    say.Known(("pay", "k"), "r1", 9e12, b"", None, b""),
    say.Claimed(("pay", "ü"), "r2", 1.0, 2.0, b"p"),
    say.Copied(),
    say.Load(0.5, 0.25, 0.0, 7),
]


@pytest.mark.parametrize("size", [1, 3, 7, 64, 100_000])
def test_words_in_pieces_of_any_size_are_what_was_sent(size):
    data, reader = b"".join(map(packed, WORDS)), Unpacker()
    assert [word for at in range(0, len(data), size) for word in reader.feed(data[at : at + size])] == WORDS


@pytest.mark.anyio
async def test_what_is_said_is_in_the_socket_at_once_and_in_order_past_a_peer_that_reads_late():
    near, far = socket.socketpair()
    far.setblocking(False)
    near.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)

    async def nothing(*_: object) -> None:
        pass

    said = [say.Known(("pay", f"k{number}"), f"r{number}", 9e12, b"", None, bytes(1000)) for number in range(100)]
    async with anyio.create_task_group() as tasks:
        link = HandoverLink(await UNIXSocketStream.from_socket(near), Limits())
        tasks.start_soon(functools.partial(link.run, nothing, nothing, nothing))
        await anyio.wait_all_tasks_blocked()
        link.send(WORDS[1])  # as the end of a run: no turn of the loop lies between it and the caller's answer
        assert Unpacker().feed(far.recv(65_536)) == [WORDS[1]]
        for word in said:
            link.send(word)
        reader, heard = Unpacker(), []
        with anyio.fail_after(10):
            while len(heard) < len(said):
                await anyio.wait_readable(far)
                heard += reader.feed(far.recv(777))
        assert heard == said and not link.broken
        tasks.cancel_scope.cancel()
    far.close()


@pytest.mark.parametrize(
    "data",
    [
        b"GET / HTTP/1.1\r\n",
        b"\x00\x00\x00\x01\xc1",
        b"\xff\xff\xff\xff",
        b"\x00\x00\x00\x00",
        *(
            packed(WORDS[1]).replace(was, lie)
            for was, lie in ((b"Known", b"Knows"), (b"\xa2ok", b"\xa2no"), (b"\xa2r1", b"\x07\x07\x07"))
        ),
    ],
)
def test_what_is_no_word_or_not_of_its_types_is_refused_as_it_is_read(data):
    with pytest.raises(FrameError):
        Unpacker().feed(data)


@pytest.mark.parametrize(
    ("phase", "word"),
    [
        ("alone", say.Yours()),
        ("alone", say.Ready()),
        ("giving", say.Yours()),
        ("serving", say.Hello(say.VERSION)),
        ("asking", say.Copied()),
        ("shedding", say.Load(0.0, 0.0, 0.0, 0)),
        ("copying", say.Yours()),
    ],
)
def test_a_word_out_of_its_phase_changes_nothing_and_ends_the_link(phase, word):
    phases = PhaseMachine(False, 0.0, 0.0)
    phases.phase = say.Phase(phase)
    with pytest.raises(UnexpectedMessageError):
        phases.handle(0.0, word)
    assert phases.phase.value == phase


def test_another_version_is_told_by_both_sides_and_the_older_serves_on():
    older, younger = PhaseMachine(False, 0.0, 0.0), PhaseMachine(True, 0.0, 0.0)
    (answer,) = older.handle(0.0, say.Hello(say.VERSION + 1))
    assert isinstance(answer, say.Send) and isinstance(answer.word, say.Welcome) and older.phase is say.Phase.ALONE
    (end,) = younger.handle(0.0, say.Welcome(say.VERSION + 1, False))
    assert isinstance(end, say.AbortStart) and f"version {say.VERSION + 1}" in end.cause


def beside(left):
    """A successor whose predecessor kept 0.6 of the crowd, 0.5 of the memory and 0.4 of the calls, and ended at 0."""
    phases = PhaseMachine(True, runs_ms=900.0, calls_ms=5000.0)
    for event in (say.Welcome(say.VERSION, False), say.Copied(), say.PoolUp(), say.Load(0.6, 0.5, 0.4, 7), say.Yours()):
        actions = phases.handle(0.0, event)
    assert [action for action in actions if isinstance(action, say.SetLimitShare)] == [
        say.SetLimitShare(0.4, 0.5, 0.95 - 0.4, 7)
    ]
    if left:
        phases.handle(0.0, say.Left())
    return phases, phases.handle(0.0, say.PeerExited())


def kept(phases, now_ms):
    return phases.handle(now_ms, say.UsageUpdate(say.Load(0.0, 0.0, 0.0, 0), say.Learned(2.0, {})))


def test_the_parts_of_a_process_that_left_are_free_at_once_but_for_its_calls():
    phases, actions = beside(left=True)
    assert actions[-1] == say.SetLimitShare(1.0, 1.0, 0.95 - 0.4) and say.FailPeerRuns(False) in actions
    assert kept(phases, 4999.0) == [] and kept(phases, 5000.0) == [say.SetLimitShare(1.0, 1.0, 1.0)]


def test_the_runs_of_a_process_that_died_may_go_on_for_their_aim_and_its_calls_for_the_window():
    phases, actions = beside(left=False)
    assert not any(isinstance(action, say.SetLimitShare) for action in actions)
    assert kept(phases, 899.0) == [] and kept(phases, 900.0) == [say.SetLimitShare(1.0, 1.0, 0.95 - 0.4)]
    assert kept(phases, 4999.0) == [] and kept(phases, 5000.0) == [say.SetLimitShare(1.0, 1.0, 1.0)]
    assert kept(phases, 9000.0) == []


def test_claims_that_are_never_answered_are_bounded_and_past_that_an_attempt_is_given_up_at_once():
    agreement = Agreement(2)
    claims = [say.Claimed(("pay", f"k{number}"), f"r{number}", 0.0, 1e6, b"") for number in range(3)]
    assert [agreement.ask(claim, 1000.0) for claim in claims] == [
        [SendToPeer(claims[0])],
        [SendToPeer(claims[1])],
        [AbandonAttempt("r2")],
    ]
    assert agreement.expire(1000.0) == [AbandonAttempt("r0"), AbandonAttempt("r1")] and len(agreement.pending) == 2
