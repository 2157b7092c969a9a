"""A test harness: a decision planner with stand-ins for its ports and a clock that the test sets."""

from __future__ import annotations

from flintshift import interface as api
from flintshift.core import attempts as at
from flintshift.core.attempts import Attempt
from flintshift.core.catalogue import Catalogue
from flintshift.core.counters import Counters
from flintshift.core.decisions import Decisions
from flintshift.core.limits import Limits


class RecordingPorts:
    """Workers and vault calls that record their commands, and accept them while `accepts_commands` is set."""

    def __init__(self):
        self.commands, self.accepts_commands = [], True

    def _record(self, *command):
        self.commands.append(command)
        return self.accepts_commands

    def spawn(self, attempt):
        return self._record("spawn", attempt.id)

    def supply(self, request, notice, reply):
        return self._record("supply", request, notice, reply)

    def continue_run(self, request, notice):
        return self._record("pass", request, notice)

    def start_call(self, request, limit_ms, payload, once):
        return self._record("ask", request)

    def cancel_call(self, request):
        self._record("unask", request)


class PlannerHarness:
    """A planner with two classes: "look", which is safe and whose calls may be skipped, and the keyed "pay"."""

    def __init__(self, **limits):
        self.now_ms, self.answers, self.ports = 1_000_000.0, {}, RecordingPorts()
        self.attempts = {}  # by id, the one that was submitted last
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
        limits_in_use = Limits(**limits)
        self.decisions = Decisions(
            Catalogue(settings, limits_in_use),
            1,
            limits_in_use,
            Counters(),
            lambda: self.now_ms,
            lambda at_ms, token: None,
            lambda: None,
        )
        self.decisions.runs.workers, self.decisions.runs.vault_calls = {"pool": self.ports}, self.ports
        self.decisions.handle(at.WorkersUp())

    def submit(self, request, class_name="look", **changes):
        """Read a request with this id; ``changes`` are fields of the attempt."""
        attempt = Attempt(
            request,
            class_name,
            changes.pop("arrival_ms", self.now_ms),
            10.0,
            1,
            b"",
            **changes,
            on_answer=lambda answer: self.answers.setdefault(request, []).append(answer),
        )
        self.attempts[request] = attempt
        self.decisions.handle(at.Submitted(attempt))
        return attempt

    def disconnect_caller(self, request):
        """The caller of the attempt with this id disconnects."""
        self.decisions.handle(at.CallerDisconnected(self.attempts[request]))

    def verdicts(self, request):
        """The verdicts of all answers under this id."""
        return [answer.verdict for answer in self.answers.get(request, [])]

    def spawned(self):
        """The ids of all attempts that were spawned, in order."""
        return [command[1] for command in self.ports.commands if command[0] == "spawn"]
