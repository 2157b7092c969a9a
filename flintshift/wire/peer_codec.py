"""The codec of the messages between members: to and from `proto/peers.proto`, for the network and the disk.

A `_set` function writes a value into a protobuf message, the `_get` function reads it from one.
"""

from __future__ import annotations

from collections.abc import Iterable

from flintshift.core.keys import Stage
from flintshift.interface import Outcome
from flintshift.peers.members import Accuse, Accused
from flintshift.proto import peers_pb2 as pb
from flintshift.replication import logs
from flintshift.replication.messages import NO_BALLOT, Ask, Ballot, Ended, Key, Step, Value, Verdict, Vote
from flintshift.replication.refill import FillAsk, Page
from flintshift.replication.registers import Entry
from flintshift.startup.permits import Permit, PermitRequest
from flintshift.wire.link import MalformedMessageError

OUTCOMES = (
    Outcome.OK,
    Outcome.REJECTED,
    Outcome.ERROR,
    Outcome.STOPPED,
    Outcome.TIMED_OUT,
    Outcome.UNREACHABLE,
    Outcome.INTERRUPTED,
    Outcome.MOOT,
)  # numbered from 1; the order must never change
OUTCOME_NUMBERS = {outcome: number for number, outcome in enumerate(OUTCOMES, 1)}
MAX_PEER_FRAME_BYTES = 4 << 20  # a longer frame is malformed
MAX_HELLO_FRAME_BYTES = 16_384  # so is a longer one from a process whose hello was not accepted

OutgoingMessage = Ask | Vote | Ended | FillAsk | Page | Accuse | logs.LogMessage | PermitRequest | Permit
IncomingMessage = Ask | Vote | Ended | FillAsk | Page | Accused | logs.LogMessage | PermitRequest | Permit


class PeerMessageError(MalformedMessageError, ValueError):
    """The received data is not a valid batch of messages, or the stored data not a valid entry."""


def _set_ballot(target: pb.Ballot, ballot: Ballot) -> None:
    target.number, target.by = ballot


def _get_ballot(encoded: pb.Ballot) -> Ballot:
    return (encoded.number, encoded.by) if encoded.by else NO_BALLOT


def _set_value(target: pb.Value, value: Value) -> None:
    target.stage, target.owner, target.runner, target.print, target.for_ms = (
        value.stage,
        value.owner,
        value.runner,
        value.fingerprint,
        value.retention_ms,
    )
    if value.outcome is not None:
        target.outcome, target.result = OUTCOME_NUMBERS[value.outcome], value.result


def _get_value(encoded: pb.Value) -> Value:
    return Value(
        Stage(encoded.stage),
        encoded.owner,
        encoded.runner,
        encoded.print,
        encoded.for_ms,
        OUTCOMES[encoded.outcome - 1] if encoded.outcome else None,
        encoded.result,
    )


def _set_key(target: pb.Key, key: Key) -> None:
    target.class_name, target.key = key


def _get_key(encoded: pb.Key) -> Key:
    return encoded.class_name, encoded.key


def _set_entry(target: pb.Entry, entry: Entry) -> None:
    _set_key(target.key, entry.key)
    if entry.promised != NO_BALLOT:
        _set_ballot(target.promised, entry.promised)
    if entry.value is not None:
        _set_ballot(target.ballot, entry.ballot)
        _set_value(target.value, entry.value)
    target.for_ms = entry.remaining_ms


def _get_entry(encoded: pb.Entry) -> Entry:
    return Entry(
        _get_key(encoded.key),
        _get_ballot(encoded.promised),
        _get_ballot(encoded.ballot),
        _get_value(encoded.value) if encoded.HasField("value") else None,
        encoded.for_ms,
    )


def encode_batch(messages: Iterable[OutgoingMessage], heartbeat: bool = False) -> pb.Batch:
    """Encode messages, and a heartbeat if wanted, as one batch."""
    batch = pb.Batch(beat=heartbeat)
    for message in messages:
        match message:
            case Ask():
                ask = batch.asks.add(
                    number=message.number, step=message.step, stores=message.stores, watch=message.watch
                )
                _set_key(ask.key, message.key)
                _set_ballot(ask.ballot, message.ballot)
                if message.value is not None:
                    _set_value(ask.value, message.value)
            case Vote():
                vote = batch.votes.add(number=message.number, verdict=message.verdict, stores=message.stores)
                if message.promised != NO_BALLOT:
                    _set_ballot(vote.promised, message.promised)
                if message.value is not None:
                    _set_ballot(vote.ballot, message.ballot)
                    _set_value(vote.value, message.value)
            case Ended(key):
                _set_key(batch.ended.add(), key)
            case FillAsk(store, after):
                fill = batch.fills.add(store=store)
                if after is not None:
                    _set_key(fill.after, after)
            case Page():
                page = batch.pages.add(done=message.done, counts=message.authoritative, known_store=message.known_store)
                if message.after is not None:
                    _set_key(page.after, message.after)
                for entry in message.entries:
                    _set_entry(page.entries.add(), entry)
            case Accuse(identity, lapsed):
                batch.accused.add(identity=identity, lapsed=lapsed)
            case logs.ReplicaStatus():
                status = batch.log_places.add(word=message.verdict, epoch=message.epoch, part=message.parts_received)
                _set_log_id(status.log, message.log)
                _set_position(status.last, message.last)
            case PermitRequest(number, holds, done):
                batch.permit_asks.add(number=number, holds=holds, done=done)
            case Permit(number, granted):
                batch.permits.add(number=number, granted=granted)
            case _:
                _set_log_message(batch.logs.add(), message)
    return batch


def _set_log_id(target: pb.LogId, log: logs.LogId) -> None:
    target.member, target.life = log


def _set_position(target: pb.LogPlace, position: logs.LogPosition) -> None:
    target.epoch, target.sequence = position


def _get_position(encoded: pb.LogPlace) -> logs.LogPosition:
    return encoded.epoch, encoded.sequence


def _set_log_message(target: pb.LogWord, message: logs.LogMessage) -> None:
    _set_log_id(target.log, message.log)
    match message:
        case logs.Join(_, epoch, last, takes):
            target.epoch, target.join.takes = epoch, takes
            _set_position(target.join.last, last)
        case logs.Append(_, epoch, first, records):
            target.epoch, target.append.first = epoch, first
            target.append.records.extend(pb.LogRecord(kind=kind, payload=payload) for kind, payload in records)
        case logs.SnapshotPart(_, epoch, last, number, more, data):
            target.epoch = epoch
            target.part.number, target.part.more, target.part.data = number, more, data
            _set_position(target.part.last, last)
        case logs.Exported(_, sink, name, digest):
            target.exported.sink, target.exported.name, target.exported.digest = sink, name, digest
        case logs.LogFinished(_, epoch):
            target.epoch, target.over = epoch, True


def _get_log_messages(encoded: pb.LogWord) -> list[logs.LogMessage]:
    log = encoded.log.member, encoded.log.life
    match encoded.WhichOneof("word"):
        case "join":
            return [logs.Join(log, encoded.epoch, _get_position(encoded.join.last), encoded.join.takes)]
        case "append":
            return [
                logs.Append(
                    log,
                    encoded.epoch,
                    encoded.append.first,
                    tuple((one.kind, one.payload) for one in encoded.append.records),
                )
            ]
        case "part":
            part = encoded.part
            return [logs.SnapshotPart(log, encoded.epoch, _get_position(part.last), part.number, part.more, part.data)]
        case "exported":
            return [logs.Exported(log, encoded.exported.sink, encoded.exported.name, encoded.exported.digest)]
        case "over":
            return [logs.LogFinished(log, encoded.epoch)]
    return []  # a type of a later release


def parse_batch(data: bytes) -> pb.Batch:
    """Parse the content of a frame.

    Raises:
        PeerMessageError: it is not a batch.
    """
    try:
        return pb.Batch.FromString(data)
    except Exception as error:  # the library's DecodeError has no common base class
        raise PeerMessageError(f"not a batch of messages: {error}") from error


def decode_messages(batch: pb.Batch, member: str, identity: str) -> list[IncomingMessage]:
    """Decode the messages of a batch from the process ``identity`` of a member.

    Raises:
        PeerMessageError: one of them has an invalid value.
    """
    try:
        return [
            *(Accused(member, one.identity, one.lapsed) for one in batch.accused),
            *(
                Ask(
                    one.number,
                    identity,
                    Step(one.step),
                    _get_key(one.key),
                    _get_ballot(one.ballot),
                    tuple(one.stores),
                    _get_value(one.value) if one.HasField("value") else None,
                    one.watch,
                )
                for one in batch.asks
            ),
            *(
                Vote(
                    one.number,
                    Verdict(one.verdict),
                    _get_ballot(one.promised),
                    _get_ballot(one.ballot),
                    _get_value(one.value) if one.HasField("value") else None,
                    tuple(one.stores),
                )
                for one in batch.votes
            ),
            *(Ended(_get_key(one)) for one in batch.ended),
            *(FillAsk(one.store, _get_key(one.after) if one.HasField("after") else None) for one in batch.fills),
            *(
                Page(
                    tuple(map(_get_entry, one.entries)),
                    _get_key(one.after) if one.HasField("after") else None,
                    one.done,
                    one.counts,
                    one.known_store,
                )
                for one in batch.pages
            ),
            *(message for one in batch.logs for message in _get_log_messages(one)),
            *(
                logs.ReplicaStatus(
                    (one.log.member, one.log.life),
                    logs.ReplicaVerdict(one.word),
                    one.epoch,
                    _get_position(one.last),
                    one.part,
                )
                for one in batch.log_places
            ),
            *(PermitRequest(one.number, one.holds, one.done) for one in batch.permit_asks),
            *(Permit(one.number, one.granted) for one in batch.permits),
        ]
    except (ValueError, IndexError) as error:
        raise PeerMessageError(f"invalid message: {error}") from error


def encode_entry(entry: Entry, at_ms: float) -> bytes:
    """Encode a register for the disk."""
    encoded = pb.Entry(at_ms=at_ms)
    _set_entry(encoded, entry)
    return bytes(encoded.SerializeToString())


def decode_entry(data: bytes) -> tuple[Entry, float]:
    """Decode a register from the disk, and when it was written.

    Raises:
        PeerMessageError: it is not a valid register.
    """
    try:
        encoded = pb.Entry.FromString(data)
        return _get_entry(encoded), encoded.at_ms
    except Exception as error:
        raise PeerMessageError(f"not a register: {error}") from error
