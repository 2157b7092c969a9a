"""A decision planner with stand-ins for its ports and a clock that the test moves."""

from __future__ import annotations

from flintshift import interface as api
from flintshift.core import attempts as at
from flintshift.core.attempts import Attempt
from flintshift.core.catalogue import Catalogue
from flintshift.core.counters import Counters
from flintshift.core.decisions import Decisions
from flintshift.core.limits import Limits


class Ports:
    """Workers and what lies below, which take commands while `room` lasts."""

    def __init__(self):
        self.sent, self.room = [], True

    def take(self, *command):
        self.sent.append(command)
        return self.room

    def spawn(self, attempt):
        return self.take("spawn", attempt.id)

    def supply(self, request, no, reply):
        return self.take("supply", request, no, reply)

    def continue_run(self, request, no):
        return self.take("pass", request, no)

    def start_call(self, request, limit_ms, payload, once):
        return self.take("ask", request)

    def cancel_call(self, request):
        self.take("unask", request)


class Planner:
    def __init__(self, **limits):
        self.now, self.told, self.ports = 1_000_000.0, {}, Ports()
        self.attempts = {}  # by id, the one submitted last
        kinds = [
            api.RequestClass("look", 500.0, 900.0, 1.0, api.Effect.SAFE, calls=True, skip_worth=0.5),
            api.RequestClass("pay", 500.0, 900.0, 1.0, api.Effect.KEYED, repeat_window_ms=2000.0, calls=True),
        ]
        settings = api.Settings(
            kinds,
            2,
            40_000.0,
            8.0,
            5.0,
            300.0,
            [],
            advice_allowed=True,
            advice_max_ms=800.0,
            call_share=10.0,
            call_window_ms=5000.0,
        )
        sizes = Limits(**limits)
        self.planner = Decisions(
            Catalogue(settings, sizes), 1, sizes, Counters(), lambda: self.now, lambda at_ms, token: None, lambda: None
        )
        self.planner.runs.workers, self.planner.runs.vault_calls = {"pool": self.ports}, self.ports
        self.planner.handle(at.WorkersUp())

    def submit(self, request, class_name="look", **changes):
        attempt = Attempt(
            request,
            class_name,
            changes.pop("arrival_ms", self.now),
            10.0,
            1,
            b"",
            **changes,
            on_answer=lambda answer: self.told.setdefault(request, []).append(answer),
        )
        self.attempts[request] = attempt
        self.planner.handle(at.Submitted(attempt))
        return attempt

    def leave(self, request):
        """The caller of that attempt goes."""
        self.planner.handle(at.CallerDisconnected(self.attempts[request]))

    def verdicts(self, request):
        return [answer.verdict for answer in self.told.get(request, [])]

    def spawned(self):
        return [command[1] for command in self.ports.sent if command[0] == "spawn"]
