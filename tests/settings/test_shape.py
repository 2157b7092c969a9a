"""What of a platform's file is turned down, and by which words."""

from __future__ import annotations

import copy
import json
import math

import pytest

from flintshift.core.catalogue import Catalogue
from flintshift.core.limits import Limits
from flintshift.lifecycle.config import ConfigError, config_from_document
from flintshift.settings.embedded import configuration
from flintshift.settings.operators import Operators
from flintshift.settings.shape import fault, lost

NONE = object()


def changed(path, value):
    told = copy.deepcopy(configuration())
    at = told
    *above, last = path.split(".")
    for key in above:
        at = at[int(key)] if isinstance(at, list) else at[key]
    if value is NONE:
        del at[last]
    else:
        at[int(last) if isinstance(at, list) else last] = value
    return told


DEADLINE = "settings.classes.0.deadlineMs"


@pytest.mark.parametrize(
    ("path", "value"),
    [
        *((DEADLINE, value) for value in (0, -5, 0.0, math.nan, math.inf, -math.inf, True, "900", None, [], {})),
        *(
            (f"settings.classes.3.{name}", NONE)
            for name in ("name", "onTimeMs", "deadlineMs", "worth", "effect", "repeatWindowMs")
        ),
        ("settings.classes.0.onTimeMs", -1),
        ("settings.classes.0.worth", "1"),
        ("settings.classes.0.effect", "both"),
        ("settings.classes.0.name", "a/b"),
        ("settings.classes.0.name", ""),
        ("settings.classes.1.name", "race-results"),
        ("settings.classes.3.repeatWindowMs", 0),
        ("settings.classes.0", 7),
        ("settings.classes", {}),
        ("settings.classes", []),
        ("settings.classes", "race-results"),
        ("settings.familyInfo.callsByClass", [True]),
        ("settings.familyInfo.classSkipWorth", [0.5, 0, 0, 0, 0]),
        ("settings.familyInfo.classSkipWorth", ["x", 0, 0, 0]),
        ("settings.familyInfo.ramKb", 10**400),
        ("limits.memory_mb", 10**400),
        ("stop_ms", 10**400),
        ("name", "n\n3"),
        ("name", "\ud800"),
        ("settings.familyInfo.nCores", 0),
        ("settings.familyInfo.nCores", 1.5),
        ("settings.familyInfo.ramKb", -1.0),
        ("settings.familyInfo.halt", "never"),
        ("settings.familyInfo.deepChecks", 1),
        ("settings.familyInfo", NONE),
        ("settings.rules.fallMultiple", 0),
        ("settings.rules.drainGraceMs", -1),
        ("settings.rules", NONE),
        ("settings.tenants.0.quotaPerS", "many"),
        ("settings.tenants.1.name", "muscat-striders"),
        ("settings.tenants", 5),
        ("settings.groupSize", 0),
        ("settings", NONE),
        ("settings", []),
        *(
            (name, value)
            for name in ("listen", "pool", "vault", "naming")
            for value in (NONE, "nowhere", "a:0", "a:70000", 9)
        ),
        ("control", "door"),
        ("stop_ms", "soon"),
        ("stop_ms", NONE),
        ("seed", "xyz"),
        ("name", NONE),
        ("name", 7),
        ("limits", 1),
        ("limits.memory_mb", 0),
        ("limits.sockets", 1.5),
    ],
)
def test_each_fault_is_told_by_its_path(path, value):
    told = changed(path, value)
    with pytest.raises(ConfigError) as found:
        config_from_document(told, "FILE", Operators())
    words = str(found.value)
    assert words.startswith("FILE: ") and "\n" not in words
    assert path.removeprefix("settings.") in words or "classes" in words


@pytest.mark.parametrize("vault", [NONE, None])
def test_a_site_whose_requests_call_nothing_below_needs_no_vault(vault):
    told = changed("vault", vault)
    told["settings"]["familyInfo"]["callsByClass"] = [False] * len(told["settings"]["classes"])
    assert config_from_document(told, "FILE", Operators()).vault is None


@pytest.mark.parametrize(
    ("path", "value"),
    [
        ("settings.limits.maxRetryAfterMs", None),
        ("settings.familyInfo.idleMs", None),
        ("settings.familyInfo.nCores", 4.0),
        ("settings.groupSize", 12.0),
        ("settings.tenants", None),
    ],
)
def test_what_is_null_is_not_told_and_a_whole_number_may_be_written_with_a_point(path, value):
    assert config_from_document(changed(path, value), "FILE", Operators()).settings.servers >= 1


def test_a_file_cut_at_any_byte_is_never_taken():
    whole = json.dumps(configuration())
    config_from_document(json.loads(whole), "FILE", Operators())
    for size in range(len(whole)):
        try:
            told = json.loads(whole[:size])
        except ValueError:
            continue
        assert fault(told) is not None


def test_a_key_that_the_configuration_in_use_has_may_not_go_but_entries_of_lists_may():
    before = configuration()
    assert lost(configuration(), before) is None
    assert lost(changed("settings.overShareWorth", 0.5), before) is None
    for path in ("limits.sockets", "settings.familyInfo.idleMs", "settings.limits.retryAfter", "settings.tenants"):
        assert lost(changed(path, NONE), before) == f"{path} is missing; the configuration in use has it"
    assert lost(changed("settings.tenants", before["settings"]["tenants"][:1]), before) is None


def test_a_dropped_class_is_taken_a_while_then_known_for_its_window_then_forgotten():
    limits = Limits(
        dropped_class_grace_ms=2500.0, max_repeat_delay_ms=5000.0, lost_run_timeout_ms=100.0, max_dropped_classes=2
    )
    now, later = (
        config_from_document(told, "FILE", Operators()).settings
        for told in (configuration(), changed("settings.classes.3.name", "submit-time-next"))
    )
    book = Catalogue(now, limits)
    assert book.accepts("submit-time", 0) and not book.accepts("submit-time-next", 0)
    assert book.change(later, 0) is None
    assert book.accepts("submit-time-next", 0)
    assert book.accepts("submit-time", 2499) and not book.accepts("submit-time", 2500)
    assert [kind.name for kind in book.effective_settings.classes][-2:] == ["submit-time-next", "submit-time"]
    assert not book.purge(15_499) and book.find_class("submit-time") is now.classes[3]
    assert book.change(now, 10_000) is None  # dropped and added again
    assert book.accepts("submit-time", 20_000) and not book.accepts("submit-time-next", 20_000)
    assert book.purge(30_000) and book.find_class("submit-time-next") is None
    for number in range(3):  # no more may be remembered than there is room for
        names = changed("settings.classes.3.name", f"c{number}")
        wrong = book.change(config_from_document(names, "FILE", Operators()).settings, 40_000)
    assert wrong is not None and "may be" in wrong and "c2" not in book.active_classes


def test_what_tells_how_the_process_began_outlasts_a_change():
    told = configuration()
    told["settings"]["familyInfo"]["cold"] = True
    book = Catalogue(config_from_document(told, "FILE", Operators()).settings, Limits())
    book.change(config_from_document(configuration(), "FILE", Operators()).settings, 0)
    assert book.effective_settings.cold
