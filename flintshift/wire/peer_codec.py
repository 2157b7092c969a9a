"""The words of the copies as they stand in `proto/peers.proto`: made and read, on the network and for the disk."""

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
from flintshift.wire.link import JunkError

OUTCOMES = (
    Outcome.OK,
    Outcome.REJECTED,
    Outcome.ERROR,
    Outcome.STOPPED,
    Outcome.TIMED_OUT,
    Outcome.UNREACHABLE,
    Outcome.INTERRUPTED,
    Outcome.MOOT,
)  # numbered from 1; the order is never changed
NUMBERS = {outcome: number for number, outcome in enumerate(OUTCOMES, 1)}
PEER_FRAME_MOST = 4 << 20  # bytes; a longer one is junk

Word = Ask | Vote | Ended | FillAsk | Page | Accuse | logs.LogMessage | PermitRequest | Permit
Told = Ask | Vote | Ended | FillAsk | Page | Accused | logs.LogMessage | PermitRequest | Permit


class PeerMessageError(JunkError, ValueError):
    """What came is no batch of these words."""


def _ballot(into: pb.Ballot, ballot: Ballot) -> None:
    into.number, into.by = ballot


def _ballot_of(told: pb.Ballot) -> Ballot:
    return (told.number, told.by) if told.by else NO_BALLOT


def _value(into: pb.Value, value: Value) -> None:
    into.stage, into.owner, into.runner, into.print, into.for_ms = (
        value.stage,
        value.owner,
        value.runner,
        value.fingerprint,
        value.retention_ms,
    )
    if value.outcome is not None:
        into.outcome, into.result = NUMBERS[value.outcome], value.result


def _value_of(told: pb.Value) -> Value:
    return Value(
        Stage(told.stage),
        told.owner,
        told.runner,
        told.print,
        told.for_ms,
        OUTCOMES[told.outcome - 1] if told.outcome else None,
        told.result,
    )


def _key(into: pb.Key, key: Key) -> None:
    into.class_name, into.key = key


def _key_of(told: pb.Key) -> Key:
    return told.class_name, told.key


def _entry(into: pb.Entry, entry: Entry) -> None:
    _key(into.key, entry.key)
    if entry.promised != NO_BALLOT:
        _ballot(into.promised, entry.promised)
    if entry.value is not None:
        _ballot(into.ballot, entry.ballot)
        _value(into.value, entry.value)
    into.for_ms = entry.remaining_ms


def _entry_of(told: pb.Entry) -> Entry:
    return Entry(
        _key_of(told.key),
        _ballot_of(told.promised),
        _ballot_of(told.ballot),
        _value_of(told.value) if told.HasField("value") else None,
        told.for_ms,
    )


def encode_batch(words: Iterable[Word], beat: bool = False) -> pb.Batch:
    batch = pb.Batch(beat=beat)
    for word in words:
        match word:
            case Ask():
                ask = batch.asks.add(number=word.number, step=word.step, stores=word.stores, watch=word.watch)
                _key(ask.key, word.key)
                _ballot(ask.ballot, word.ballot)
                if word.value is not None:
                    _value(ask.value, word.value)
            case Vote():
                vote = batch.votes.add(number=word.number, verdict=word.verdict, stores=word.stores)
                if word.promised != NO_BALLOT:
                    _ballot(vote.promised, word.promised)
                if word.value is not None:
                    _ballot(vote.ballot, word.ballot)
                    _value(vote.value, word.value)
            case Ended(key):
                _key(batch.ended.add(), key)
            case FillAsk(store, after):
                fill = batch.fills.add(store=store)
                if after is not None:
                    _key(fill.after, after)
            case Page():
                page = batch.pages.add(done=word.done, counts=word.authoritative, known_store=word.known_store)
                if word.after is not None:
                    _key(page.after, word.after)
                for entry in word.entries:
                    _entry(page.entries.add(), entry)
            case Accuse(identity, lapsed):
                batch.accused.add(identity=identity, lapsed=lapsed)
            case logs.ReplicaStatus():
                at = batch.log_places.add(word=word.verdict, epoch=word.epoch, part=word.parts_received)
                _log(at.log, word.log)
                _place(at.last, word.last)
            case PermitRequest(number, holds, done):
                batch.permit_asks.add(number=number, holds=holds, done=done)
            case Permit(number, granted):
                batch.permits.add(number=number, granted=granted)
            case _:
                _log_word(batch.logs.add(), word)
    return batch


def _log(into: pb.LogId, log: logs.LogId) -> None:
    into.member, into.life = log


def _place(into: pb.LogPlace, place: logs.LogPosition) -> None:
    into.epoch, into.sequence = place


def _place_of(told: pb.LogPlace) -> logs.LogPosition:
    return told.epoch, told.sequence


def _log_word(into: pb.LogWord, word: logs.LogMessage) -> None:
    _log(into.log, word.log)
    match word:
        case logs.Join(_, epoch, last, takes):
            into.epoch, into.join.takes = epoch, takes
            _place(into.join.last, last)
        case logs.Append(_, epoch, first, records):
            into.epoch, into.append.first = epoch, first
            into.append.records.extend(pb.LogRecord(kind=kind, payload=payload) for kind, payload in records)
        case logs.SnapshotPart(_, epoch, last, number, more, data):
            into.epoch = epoch
            into.part.number, into.part.more, into.part.data = number, more, data
            _place(into.part.last, last)
        case logs.Exported(_, sink, name, digest):
            into.exported.sink, into.exported.name, into.exported.digest = sink, name, digest
        case logs.LogFinished(_, epoch):
            into.epoch, into.over = epoch, True


def _log_words_of(told: pb.LogWord) -> list[logs.LogMessage]:
    log = told.log.member, told.log.life
    match told.WhichOneof("word"):
        case "join":
            return [logs.Join(log, told.epoch, _place_of(told.join.last), told.join.takes)]
        case "append":
            return [
                logs.Append(
                    log, told.epoch, told.append.first, tuple((one.kind, one.payload) for one in told.append.records)
                )
            ]
        case "part":
            part = told.part
            return [logs.SnapshotPart(log, told.epoch, _place_of(part.last), part.number, part.more, part.data)]
        case "exported":
            return [logs.Exported(log, told.exported.sink, told.exported.name, told.exported.digest)]
        case "over":
            return [logs.LogFinished(log, told.epoch)]
    return []  # of a later release


def parse_batch(data: bytes) -> pb.Batch:
    """A frame's content.

    Raises:
        WordsError: it is none.
    """
    try:
        return pb.Batch.FromString(data)
    except Exception as error:  # the library's own DecodeError has no base of its own
        raise PeerMessageError(f"no batch of words: {error}") from error


def decode_messages(batch: pb.Batch, member: str, identity: str) -> list[Told]:
    """The words of a batch, which came from that process of a member.

    Raises:
        WordsError: one of them can't be.
    """
    try:
        return [
            *(Accused(member, one.identity, one.lapsed) for one in batch.accused),
            *(
                Ask(
                    one.number,
                    identity,
                    Step(one.step),
                    _key_of(one.key),
                    _ballot_of(one.ballot),
                    tuple(one.stores),
                    _value_of(one.value) if one.HasField("value") else None,
                    one.watch,
                )
                for one in batch.asks
            ),
            *(
                Vote(
                    one.number,
                    Verdict(one.verdict),
                    _ballot_of(one.promised),
                    _ballot_of(one.ballot),
                    _value_of(one.value) if one.HasField("value") else None,
                    tuple(one.stores),
                )
                for one in batch.votes
            ),
            *(Ended(_key_of(one)) for one in batch.ended),
            *(FillAsk(one.store, _key_of(one.after) if one.HasField("after") else None) for one in batch.fills),
            *(
                Page(
                    tuple(map(_entry_of, one.entries)),
                    _key_of(one.after) if one.HasField("after") else None,
                    one.done,
                    one.counts,
                    one.known_store,
                )
                for one in batch.pages
            ),
            *(word for one in batch.logs for word in _log_words_of(one)),
            *(
                logs.ReplicaStatus(
                    (one.log.member, one.log.life),
                    logs.ReplicaVerdict(one.word),
                    one.epoch,
                    _place_of(one.last),
                    one.part,
                )
                for one in batch.log_places
            ),
            *(PermitRequest(one.number, one.holds, one.done) for one in batch.permit_asks),
            *(Permit(one.number, one.granted) for one in batch.permits),
        ]
    except (ValueError, IndexError) as error:
        raise PeerMessageError(f"a word that can't be: {error}") from error


def encode_entry(entry: Entry, at_ms: float) -> bytes:
    """A register for the disk."""
    made = pb.Entry(at_ms=at_ms)
    _entry(made, entry)
    return bytes(made.SerializeToString())


def decode_entry(data: bytes) -> tuple[Entry, float]:
    """A register from the disk, and when it was written.

    Raises:
        WordsError: it is none.
    """
    try:
        told = pb.Entry.FromString(data)
        return _entry_of(told), told.at_ms
    except Exception as error:
        raise PeerMessageError(f"no register: {error}") from error
