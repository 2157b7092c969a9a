"""All sizes, counts and times of the node in one type, which is filled at the start and passed down."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Limits:
    """The bounds of one process of the node. The settings give the first three fields and the bytes of key results."""

    memory_mb: int = 192
    sockets: int = 1024
    stop_ms: float = 3000.0  # from the platform's notice to stop until it kills the process

    # Sizes, in bytes.
    max_body_bytes: int = 2048
    max_result_bytes: int = 4096
    max_head_bytes: int = 16_384  # a request's line and headers
    max_uwsgi_vars_bytes: int = 16_384  # a uwsgi block of variables
    max_line_bytes: int = 65_536  # one line from a peer, or one reply
    max_vault_line_bytes: int = 256  # the first line of a reply from the vault
    max_control_head_bytes: int = 4096  # an operator's control request
    read_chunk_bytes: int = 65_536  # one read from a socket
    min_received_bytes: int = 4096  # that a connection may hold unprocessed, however little memory there is
    max_linger_bytes: int = 1 << 20  # of what still arrives after the last answer: then the connection is reset

    # Counts.
    max_head_fields: int = 100  # lines of a head behind the first
    max_head_list_items: int = 500  # separated by commas, in all fields of a head
    max_body_chunks: int = 40
    max_uwsgi_variables: int = 256
    mailbox_size: int = 2048  # events that wait for a planner
    mailbox_reserve: int = 512  # of these, places that new requests may not take
    batch_size: int = 32  # reports that a planner handles before it yields to other tasks
    outbox_size: int = 2048  # commands that wait for a peer
    max_unconfirmed_commands: int = 4096  # commands of each kind that the worker pool has not acknowledged
    list_mailbox_size: int = 4  # messages that wait for a name service or DNS list
    listen_backlog: int = 1024
    max_backlog_accepts: int = 4096  # accepts from a closing listener's queue, with those that fail
    max_unmatched_replies: int = 8  # replies that no call asked for, before the reply to a call
    max_dropped_classes: int = 64  # classes that a new configuration dropped and whose repeats may still arrive
    max_open_claims: int = 1024  # claims on keys that the other process of an upgrade has not answered
    max_keys: int = 6000  # remembered keys
    max_key_result_bytes: int = 32 << 20  # the results of all remembered keys
    max_known_callers: int = 64  # callers of a club that the fair queues track one by one
    caller_buckets: int = 64  # buckets for all other callers of a club
    max_tracked_requests: int = 4096  # requests that the fair queues track
    reservation_slots: int = 64  # time slots in a club's calendar of reserved retry times
    reservations_per_slot: int = 32

    peer_outbox_size: int = 20_000  # messages that wait for another member
    max_peer_links: int = 1024  # links from other members' processes to this one

    # Times, in milliseconds.
    clock_skew_ms: float = 5000.0  # a request's arrival time may lie this far in the future
    max_request_age_ms: float = 86_400_000.0  # an older arrival time is invalid
    key_margin_ms: float = 250.0  # keys live longer than their documented window, which is 50 ms longer on sockets
    max_repeat_delay_ms: float = 5000.0  # a repeat may be read this long after its arrival
    dropped_class_grace_ms: float = 2500.0  # a dropped class is accepted this long: callers learn of it 1.2 s late
    request_read_timeout_ms: float = 2000.0  # for a connection's first request, and for the rest of a later one
    displace_silent_after_ms: float = 250.0  # a connection without a request for so long may be closed for a new one
    displace_stalled_after_ms: float = 250.0  # so may one with a part of a request and no byte for so long
    displace_incomplete_after_ms: float = 1000.0  # so may one whose request has been incomplete for so long
    displace_idle_after_ms: float = 500.0  # so may one that has been idle for so long after an answer
    last_read_timeout_ms: float = 20.0  # for the rest of a request while the node stops
    linger_ms: float = 500.0  # for what still arrives after a connection's last answer
    close_crossing_ms: float = 100.0  # for a request that crosses an idle connection's close: 50 ms are documented
    write_timeout_ms: float = 5000.0  # for a caller to read an answer
    welcome_timeout_ms: float = 5000.0  # for the running process to welcome its successor; the start has 6 s
    claim_timeout_ms: float = 1000.0  # for the other process of an upgrade to answer a claim on a key
    claim_reserve_ms: float = 150.0  # an attempt stops waiting for that answer so long before its own deadline
    final_send_timeout_ms: float = 100.0  # for the last messages to the other process
    load_report_interval_ms: float = 40.0  # between a predecessor's reports of its load: a tick of the decisions
    ready_timeout_ms: float = 30_000.0  # the platform waits so long for readiness; transient failures are retried
    start_retry_delay_ms: float = 100.0  # between two tries of a step of the start
    gauge_poll_timeout_ms: float = 25.0  # a tick goes on without gauges that take longer
    gauge_stale_ms: float = 500.0  # older gauges are not used
    pool_in_doubt_ms: float = 100.0  # what was sent so shortly before a break may be lost; the protocol names 50 ms
    pool_check_interval_ms: float = 100.0  # between two checks whether the worker pool has sent anything
    max_silent_pool_checks: int = (
        10  # a pool from which a message is due is reconnected after so many checks without one
    )
    pool_bind_timeout_ms: float = 3000.0  # for a bind to be answered, if the pool was up before
    verify_timeout_ms: float = 2000.0
    call_grace_ms: float = 25.0  # past a call's limit, until the node itself cancels it
    max_vault_idle_ms: float = 250.0  # the vault may close a connection that is idle for longer: it is not used
    vault_new_links_ms: float = 30_000.0  # so long after a connection broke, writes use new connections only
    vault_reply_timeout_ms: float = 250.0  # for the rest of a reply after its first byte
    report_interval_ms: float = 800.0  # the name service forgets a node after 3 s
    report_retry_delay_ms: float = 100.0  # after a report that was not accepted; grows up to the maximum
    max_report_retry_delay_ms: float = 2800.0
    report_timeout_ms: float = 400.0  # for the answer to a report, which counts as sent without it
    connect_timeout_ms: float = 1000.0
    backoff_ms: float = 20.0  # before the first reconnect; doubled up to the maximum
    max_backoff_ms: float = 1000.0
    lost_run_timeout_ms: float = 30_000.0  # a run whose caller was answered and whose end was never reported is lost
    control_call_timeout_ms: float = 800.0  # to read an operator's request and write its answer: 1 s is documented
    control_displace_after_ms: float = 40.0  # an older connection without a whole request may go for a new one
    bucket_rekey_interval_ms: float = 10_000.0  # between two hash keys of the fair queues' buckets
    status_write_timeout_ms: float = 2000.0  # for a client to read the status of the clubs
    status_listen_retry_delay_ms: float = 1000.0  # while another process listens there, or listening fails
    reservation_slot_ms: float = 50.0  # one slot in the calendar of reserved retry times
    sweep_interval_ms: float = 250.0  # between two checks for idle connections
    purge_interval_ms: float = 1000.0  # between two checks for expired keys and lost runs
    max_notice_delay_ms: float = 500.0  # a busy node may receive the notice to stop this late
    drain_check_interval_ms: float = 10.0  # between two checks whether all requests are answered
    stop_margin_ms: float = 250.0  # all requests are answered so long before the kill
    stop_accepting_ms: float = 300.0  # accepting ends so long before that: accepted connections are answered
    browse_interval_ms: float = 5000.0  # between two queries for app servers
    max_dns_tries: int = 4  # of one DNS exchange that this machine's own system refuses
    confirming_empty_browses: int = 3  # a list that names no server is believed after so many in a row
    browse_retry_delay_ms: float = 500.0  # while no server is known; grows up to the interval
    peer_timeout_ms: float = 400.0  # a member that leaves a request unanswered for so long is unreachable
    max_peer_backoff_ms: float = 500.0  # the longest delay before the next try to link to another member
    dns_timeout_ms: float = 1000.0  # for one DNS exchange
    record_ttl_s: int = 20
    app_run_timeout_ms: float = 30_000.0  # a run on an app server

    @property
    def max_received_bytes(self) -> int:
        """Received bytes that one connection holds unprocessed. On all descriptors together they take a sixteenth of
        the memory at most: callers may open as many connections, and send without end on each."""
        fair_share = self.memory_mb * (1 << 20) // 16 // max(1, self.sockets)
        return max(self.min_received_bytes, min(self.max_head_bytes, fair_share))

    # File descriptors by use. Their sum, with an eighth more of each front's, leaves a sixteenth for the rest: links to
    # the worker pool and the lists, listeners, files that are read.

    @property
    def http_connections(self) -> int:
        """Connections of the HTTP front, where it is the only front."""
        return self.sockets * 5 // 8  # callers open up to half of the descriptors

    @property
    def http_connections_beside_uwsgi(self) -> int:
        """Connections of the HTTP front, where there is a uwsgi front too."""
        return self.sockets // 2

    @property
    def uwsgi_connections(self) -> int:
        """Connections of the uwsgi front."""
        return self.sockets // 8

    @property
    def vault_connections(self) -> int:
        """Connections to the vault."""
        return self.sockets // 16

    @property
    def control_connections(self) -> int:
        """Connections to the control port."""
        return max(4, self.sockets // 32)

    @property
    def app_connections(self) -> int:
        """Connections to the app servers."""
        return self.sockets // 8
