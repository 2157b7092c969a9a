"""The messages of the handover on their link, and the protection against a faulty or silent peer."""

from __future__ import annotations

import functools
import socket

import anyio
import pytest
from anyio.abc import UNIXSocketStream

from flintshift.core.limits import Limits
from flintshift.handover import messages
from flintshift.handover.claims import AbandonAttempt, Agreement, SendToPeer
from flintshift.handover.phases import PhaseMachine, UnexpectedMessageError
from flintshift.interface import Outcome
from flintshift.wire.handover import HandoverLink
from flintshift.wire.handover_codec import FrameDecoder, FrameError, encode_frame

MESSAGES = [
    messages.Hello(1),
    messages.Known(("pay", "k"), "r1", 9e12, b"\x00\xff", Outcome.OK, bytes(range(256))),
    messages.Known(("pay", "k"), "r1", 9e12, b"", None, b""),
    messages.Claimed(("pay", "ü"), "r2", 1.0, 2.0, b"p"),
    messages.Copied(),
    messages.Load(0.5, 0.25, 0.0, 7),
]


@pytest.mark.parametrize("size", [1, 3, 7, 64, 100_000])
def test_messages_in_pieces_of_any_size_are_decoded_as_sent(size):
    data, decoder = b"".join(map(encode_frame, MESSAGES)), FrameDecoder()
    assert [
        message for position in range(0, len(data), size) for message in decoder.feed(data[position : position + size])
    ] == MESSAGES


@pytest.mark.anyio
async def test_a_message_is_in_the_socket_at_once_and_in_order_if_the_peer_reads_late():
    near_end, far_end = socket.socketpair()
    far_end.setblocking(False)
    near_end.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)

    async def ignore(*_: object) -> None:
        pass

    expected = [
        messages.Known(("pay", f"k{number}"), f"r{number}", 9e12, b"", None, bytes(1000)) for number in range(100)
    ]
    async with anyio.create_task_group() as tasks:
        link = HandoverLink(await UNIXSocketStream.from_socket(near_end), Limits())
        tasks.start_soon(functools.partial(link.run, ignore, ignore, ignore))
        await anyio.wait_all_tasks_blocked()
        link.send(MESSAGES[1])  # like the end of a run, it must be in the socket without a further turn of the loop
        assert FrameDecoder().feed(far_end.recv(65_536)) == [MESSAGES[1]]
        for message in expected:
            link.send(message)
        decoder, received = FrameDecoder(), []
        with anyio.fail_after(10):
            while len(received) < len(expected):
                await anyio.wait_readable(far_end)
                received += decoder.feed(far_end.recv(777))
        assert received == expected and not link.disconnected
        tasks.cancel_scope.cancel()
    far_end.close()


@pytest.mark.parametrize(
    "data",
    [
        b"GET / HTTP/1.1\r\n",
        b"\x00\x00\x00\x01\xc1",
        b"\xff\xff\xff\xff",
        b"\x00\x00\x00\x00",
        *(
            encode_frame(MESSAGES[1]).replace(original, replacement)
            for original, replacement in ((b"Known", b"Knows"), (b"\xa2ok", b"\xa2no"), (b"\xa2r1", b"\x07\x07\x07"))
        ),
    ],
)
def test_invalid_messages_and_wrong_types_are_rejected_on_decoding(data):
    with pytest.raises(FrameError):
        FrameDecoder().feed(data)


@pytest.mark.parametrize(
    ("phase", "message"),
    [
        ("alone", messages.Yours()),
        ("alone", messages.Ready()),
        ("giving", messages.Yours()),
        ("serving", messages.Hello(messages.VERSION)),
        ("asking", messages.Copied()),
        ("shedding", messages.Load(0.0, 0.0, 0.0, 0)),
        ("copying", messages.Yours()),
    ],
)
def test_a_message_that_is_invalid_in_the_phase_is_rejected_and_changes_nothing(phase, message):
    phases = PhaseMachine(False, 0.0, 0.0)
    phases.phase = messages.Phase(phase)
    with pytest.raises(UnexpectedMessageError):
        phases.handle(0.0, message)
    assert phases.phase.value == phase


def test_another_version_is_reported_by_both_sides_and_the_predecessor_serves_on():
    predecessor, successor = PhaseMachine(False, 0.0, 0.0), PhaseMachine(True, 0.0, 0.0)
    (reply,) = predecessor.handle(0.0, messages.Hello(messages.VERSION + 1))
    assert (
        isinstance(reply, messages.Send)
        and isinstance(reply.message, messages.Welcome)
        and predecessor.phase is messages.Phase.ALONE
    )
    (action,) = successor.handle(0.0, messages.Welcome(messages.VERSION + 1, False))
    assert isinstance(action, messages.AbortStart) and f"version {messages.VERSION + 1}" in action.cause


def successor_after_exit(regular_exit):
    """A successor whose predecessor kept 0.6 of the concurrency, 0.5 of the memory, 0.4 of the calls and ended at 0."""
    phases = PhaseMachine(True, run_lifetime_ms=900.0, call_lifetime_ms=5000.0)
    for event in (
        messages.Welcome(messages.VERSION, False),
        messages.Copied(),
        messages.PoolUp(),
        messages.Load(0.6, 0.5, 0.4, 7),
        messages.Yours(),
    ):
        actions = phases.handle(0.0, event)
    assert [action for action in actions if isinstance(action, messages.SetLimitShare)] == [
        messages.SetLimitShare(0.4, 0.5, 0.95 - 0.4, 7)
    ]
    if regular_exit:
        phases.handle(0.0, messages.Left())
    return phases, phases.handle(0.0, messages.PeerExited())


def share_changes(phases, now_ms):
    return phases.handle(now_ms, messages.UsageUpdate(messages.Load(0.0, 0.0, 0.0, 0), messages.Learned(2.0, {})))


def test_the_shares_of_a_process_that_shut_down_are_released_at_once_except_its_calls():
    phases, actions = successor_after_exit(regular_exit=True)
    assert actions[-1] == messages.SetLimitShare(1.0, 1.0, 0.95 - 0.4) and messages.FailPeerRuns(False) in actions
    assert share_changes(phases, 4999.0) == [] and share_changes(phases, 5000.0) == [
        messages.SetLimitShare(1.0, 1.0, 1.0)
    ]


def test_the_shares_of_a_crashed_process_are_released_after_the_lifetimes_of_its_runs_and_calls():
    phases, actions = successor_after_exit(regular_exit=False)
    assert not any(isinstance(action, messages.SetLimitShare) for action in actions)
    assert share_changes(phases, 899.0) == [] and share_changes(phases, 900.0) == [
        messages.SetLimitShare(1.0, 1.0, 0.95 - 0.4)
    ]
    assert share_changes(phases, 4999.0) == [] and share_changes(phases, 5000.0) == [
        messages.SetLimitShare(1.0, 1.0, 1.0)
    ]
    assert share_changes(phases, 9000.0) == []


def test_pending_claims_are_bounded_and_further_attempts_are_abandoned_at_once():
    agreement = Agreement(2)
    claims = [messages.Claimed(("pay", f"k{number}"), f"r{number}", 0.0, 1e6, b"") for number in range(3)]
    assert [agreement.request_claim(claim, 1000.0) for claim in claims] == [
        [SendToPeer(claims[0])],
        [SendToPeer(claims[1])],
        [AbandonAttempt("r2")],
    ]
    assert agreement.expire(1000.0) == [AbandonAttempt("r0"), AbandonAttempt("r1")] and len(agreement.pending) == 2


def predecessor_that_sheds():
    """A predecessor whose successor accepts the clients, and that keeps half of each limit."""
    phases = PhaseMachine(False, run_lifetime_ms=900.0, call_lifetime_ms=5000.0)
    for event in (messages.PoolUp(), messages.Hello(messages.VERSION), messages.Ready()):
        phases.handle(0.0, event)
    phases.handle(0.0, messages.UsageUpdate(messages.Load(0.5, 0.5, 0.5, 9), messages.Learned(2.0, {})))
    assert phases.phase is messages.Phase.SHEDDING
    return phases


def test_a_predecessor_accepts_the_clients_again_and_gets_what_the_leaving_successor_does_not_keep():
    phases = predecessor_that_sheds()
    assert phases.handle(0.0, messages.TakeBack()) == [
        messages.StartAccepting(),
        messages.Send(messages.Resumed()),
    ]
    assert phases.accepts_clients and phases.claims_required and phases.senior
    (share,) = phases.handle(0.0, messages.Load(0.2, 0.1, 0.3, 4))
    assert (share.concurrency, share.memory, round(share.calls, 9), share.peer_connections) == (0.8, 0.9, 0.65, 4)
    phases.handle(0.0, messages.Left())
    assert messages.SetLimitShare(1.0, 1.0, 1.0) in [
        *phases.handle(0.0, messages.PeerExited()),
        *share_changes(phases, 5000.0),
    ]
    assert phases.phase is messages.Phase.ALONE


def test_a_predecessor_that_leaves_itself_takes_no_clients_back():
    phases = predecessor_that_sheds()
    assert phases.handle(0.0, messages.LeaveBegan()) == []
    assert phases.handle(0.0, messages.TakeBack()) == [] and not phases.accepts_clients


@pytest.mark.parametrize("takes_back", [True, False])
def test_a_successor_that_leaves_asks_only_a_predecessor_that_knows_the_message(takes_back):
    phases = PhaseMachine(True, 0.0, 0.0)
    for event in (
        messages.Welcome(messages.VERSION, False, takes_back=takes_back),
        messages.Copied(),
        messages.PoolUp(),
        messages.Load(0.6, 0.5, 0.4, 7),
        messages.Yours(),
    ):
        phases.handle(0.0, event)
    assert phases.handle(0.0, messages.LeaveBegan()) == ([messages.Send(messages.TakeBack())] if takes_back else [])
    assert phases.accepts_clients  # until the predecessor does
    if takes_back:
        assert messages.StopAccepting() in phases.handle(0.0, messages.Resumed())
        assert not phases.accepts_clients and phases.claims_required and not phases.senior
