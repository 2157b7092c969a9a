"""All sizes, counts and times of the node in one type, filled at start and handed down."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Limits:
    memory_mb: int = 192
    sockets: int = 1024
    stop_ms: float = 3000.0  # from the notice to leave to the kill

    # Sizes, in bytes.
    max_body_bytes: int = 2048
    max_result_bytes: int = 4096
    max_head_bytes: int = 16_384  # a request's line and headers
    max_uwsgi_vars_bytes: int = 16_384  # a uwsgi block of variables
    max_line_bytes: int = 65_536  # one line from a peer, or one reply
    max_vault_line_bytes: int = 256  # the line that a reply of the vault begins with
    max_control_head_bytes: int = 4096  # an operator's call
    read_chunk_bytes: int = 65_536  # one read from a socket

    # Counts.
    mailbox_size: int = 2048  # events waiting for a planner
    mailbox_reserve: int = 512  # of these, kept free of new requests
    batch_size: int = 32  # reports that a planner takes in a row
    outbox_size: int = 2048  # commands waiting for a peer
    max_unconfirmed_commands: int = 4096  # commands to the worker pool of each kind of which nothing was heard yet
    max_linger_reads: int = 16  # of what still comes after the last answer
    list_mailbox_size: int = 4  # words waiting for a list
    listen_backlog: int = 1024
    max_backlog_accepts: int = (
        4096  # connections that are taken from the listener's queue at its end, and tries that fail
    )
    max_unmatched_replies: int = 8  # replies to nothing that was asked, before a call's own
    max_dropped_classes: int = 64  # that a new configuration left out, and whose repeats may still come
    max_open_claims: int = 1024  # on keys, that the other process of an upgrade has not answered
    max_keys: int = 6000  # remembered keys
    max_key_result_bytes: int = 32 << 20  # their results
    max_known_callers: int = 64  # of a club that the fair queues know by number
    caller_buckets: int = 64  # for all its other callers
    max_tracked_requests: int = 4096  # requests that they follow
    reservation_slots: int = 64  # of a club's calendar of promised times
    reservations_per_slot: int = 32  # of a slot

    peer_outbox_size: int = 20_000  # words waiting for another member
    max_peer_links: int = 1024  # of other members' processes to this one

    # Times, in milliseconds.
    clock_skew_ms: float = 5000.0  # a request may seem to come from the future by so much
    max_request_age_ms: float = 86_400_000.0  # an older arrival time is no arrival time
    key_margin_ms: float = 250.0  # keys live longer than told: the rule's times are 50 ms longer on sockets
    max_repeat_delay_ms: float = 5000.0  # a repeat may be read so much later than it came
    dropped_class_grace_ms: float = (
        2500.0  # a class that was left out is taken so much longer: callers hear of it 1.2 s late
    )
    request_read_timeout_ms: float = (
        2000.0  # for a connection's first request, and for the rest of a later one once begun
    )
    displace_silent_after_ms: float = 250.0  # a connection that said nothing for so long may go for a new one
    displace_idle_after_ms: float = 500.0  # and so may one that is idle after an answer
    last_read_timeout_ms: float = 20.0  # for the same, while the node stops
    linger_ms: float = 500.0  # for what still comes after a connection's last answer
    close_crossing_ms: float = 100.0  # for a request that crosses the close of an idle connection: 50 ms are told
    write_timeout_ms: float = 5000.0  # for an answer to be taken
    welcome_timeout_ms: float = (
        5000.0  # for the process that serves to welcome its successor: 6 s are told for the start
    )
    claim_timeout_ms: float = 1000.0  # for the other process of an upgrade to answer a claim on a key
    claim_reserve_ms: float = 150.0  # before its due time, an attempt waits for that no longer
    final_send_timeout_ms: float = 100.0  # for the last words to the other process
    load_report_interval_ms: float = 40.0  # between two words of a predecessor on what it uses: a tick of the decisions
    ready_timeout_ms: float = (
        30_000.0  # the platform waits so long for a process to be ready: what may pass is tried again
    )
    start_retry_delay_ms: float = 100.0  # between two tries of a step of the start
    gauge_poll_timeout_ms: float = 25.0  # for gauges to come before a tick goes on without
    gauge_stale_ms: float = 500.0  # older gauges are none
    pool_in_doubt_ms: float = 100.0  # what was sent to the pool so long before a break may be lost: 50 ms are told
    pool_check_interval_ms: float = 100.0  # between two looks whether the worker pool has said anything
    max_silent_pool_checks: int = 10  # without a word, while it owes one, after which its link is made anew
    pool_bind_timeout_ms: float = 3000.0  # for a bind to be answered, once the pool was up
    verify_timeout_ms: float = 2000.0
    call_grace_ms: float = 25.0  # past a call's limit, before the node itself gives it up
    max_vault_idle_ms: float = 250.0  # a connection idle for longer is not called on: the vault may close it
    vault_new_links_ms: float = 30_000.0  # for so long after one broke, writes are called on new ones alone
    vault_reply_rest_timeout_ms: float = 250.0  # for the rest of a reply once begun
    report_interval_ms: float = 800.0  # the name service forgets after 3 s
    report_retry_delay_ms: float = 100.0  # after a report that was not taken, growing up to the next
    max_report_retry_delay_ms: float = 2800.0
    report_timeout_ms: float = 400.0  # for the answer to a report; it counts without
    connect_timeout_ms: float = 1000.0
    backoff_ms: float = 20.0  # the first wait before a reconnect, doubled up to the most
    max_backoff_ms: float = 1000.0
    lost_run_timeout_ms: float = 30_000.0  # a run that ended for its caller and was never heard of again
    control_call_timeout_ms: float = (
        800.0  # for an operator's call to come whole and its answer to be taken: 1 s is told
    )
    control_displace_after_ms: float = 40.0  # an older connection without a whole call goes for a new one
    bucket_rekey_interval_ms: float = 10_000.0  # between two keys of the fair queues' buckets
    status_write_timeout_ms: float = 2000.0  # for whoever asks how the clubs stand to take it
    status_listen_retry_delay_ms: float = (
        1000.0  # between two tries to listen for that, where another process does, or nothing can
    )
    reservation_slot_ms: float = 50.0  # of the calendar of promised times
    sweep_interval_ms: float = 250.0  # between two looks for idle connections
    purge_interval_ms: float = 1000.0  # between two looks for keys and runs that are past
    max_notice_delay_ms: float = 500.0  # a busy node may hear of the notice to leave so late
    drain_check_interval_ms: float = 10.0  # between two looks whether all is answered
    stop_margin_ms: float = 250.0  # all is answered so long before the kill
    stop_accepting_ms: float = (
        300.0  # no new connection is taken from so long before then on: what was taken is answered
    )
    browse_interval_ms: float = 5000.0  # between two looks for app servers
    max_dns_tries: int = 4  # of one DNS exchange that the own system refuses
    confirming_empty_browses: int = 3  # in a row, after which a list that names nobody is believed
    browse_retry_delay_ms: float = 500.0  # while none are known, growing up to that
    peer_timeout_ms: float = 400.0  # another member that owes an answer for so long is out of reach
    max_peer_backoff_ms: float = 500.0  # the longest wait before the next try to link to another member
    dns_timeout_ms: float = 1000.0  # for one DNS exchange
    record_ttl_s: int = 20
    app_run_timeout_ms: float = 30_000.0  # a run on an app server

    # Descriptors by their use. Their sum, with an eighth more of each front's, leaves a sixteenth for all else: links
    # to the worker pool and the lists, listeners, files that are read.

    @property
    def http_connections(self) -> int:
        return self.sockets * 5 // 8  # callers open up to half of the descriptors

    @property
    def http_connections_beside_uwsgi(self) -> int:
        return self.sockets // 2

    @property
    def uwsgi_connections(self) -> int:
        return self.sockets // 8

    @property
    def vault_connections(self) -> int:
        return self.sockets // 16

    @property
    def control_connections(self) -> int:
        return max(4, self.sockets // 32)

    @property
    def app_connections(self) -> int:
        return self.sockets // 8
