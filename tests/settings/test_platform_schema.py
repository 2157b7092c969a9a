"""The platform's file: which ones are rejected and with which message, and changes of classes in a running node."""

from __future__ import annotations

import copy
import json
import math

import pytest

from flintshift.core.catalogue import Catalogue
from flintshift.core.limits import Limits
from flintshift.lifecycle.config import ConfigError, config_from_document
from flintshift.settings.embedded import configuration
from flintshift.settings.operators import OperatorSettings
from flintshift.settings.platform_schema import first_fault, missing_key

DELETED = object()


def changed(path, value):
    """Return the embedded configuration with another value at a path, or without the path."""
    document = copy.deepcopy(configuration())
    parent = document
    *parent_keys, last = path.split(".")
    for key in parent_keys:
        parent = parent[int(key)] if isinstance(parent, list) else parent[key]
    if value is DELETED:
        del parent[last]
    else:
        parent[int(last) if isinstance(parent, list) else last] = value
    return document


DEADLINE = "settings.classes.0.deadlineMs"


@pytest.mark.parametrize(
    ("path", "value"),
    [
        *((DEADLINE, value) for value in (0, -5, 0.0, math.nan, math.inf, -math.inf, True, "900", None, [], {})),
        *(
            (f"settings.classes.3.{name}", DELETED)
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
        ("settings.familyInfo", DELETED),
        ("settings.rules.fallMultiple", 0),
        ("settings.rules.drainGraceMs", -1),
        ("settings.rules", DELETED),
        ("settings.tenants.0.quotaPerS", "many"),
        ("settings.tenants.1.name", "muscat-striders"),
        ("settings.tenants", 5),
        ("settings.groupSize", 0),
        ("settings", DELETED),
        ("settings", []),
        *(
            (name, value)
            for name in ("listen", "pool", "vault", "naming")
            for value in (DELETED, "nowhere", "a:0", "a:70000", 9)
        ),
        ("control", "door"),
        ("stop_ms", "soon"),
        ("stop_ms", DELETED),
        ("seed", "xyz"),
        ("name", DELETED),
        ("name", 7),
        ("limits", 1),
        ("limits.memory_mb", 0),
        ("limits.sockets", 1.5),
    ],
)
def test_fault_is_reported_with_its_path(path, value):
    document = changed(path, value)
    with pytest.raises(ConfigError) as caught:
        config_from_document(document, "FILE", OperatorSettings())
    message = str(caught.value)
    assert message.startswith("FILE: ") and "\n" not in message
    assert path.removeprefix("settings.") in message or "classes" in message


@pytest.mark.parametrize("vault", [DELETED, None])
def test_site_without_calls_needs_no_vault(vault):
    document = changed("vault", vault)
    document["settings"]["familyInfo"]["callsByClass"] = [False] * len(document["settings"]["classes"])
    assert config_from_document(document, "FILE", OperatorSettings()).vault is None


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
def test_null_means_absent_and_a_whole_number_may_have_a_decimal_point(path, value):
    assert config_from_document(changed(path, value), "FILE", OperatorSettings()).settings.servers >= 1


def test_file_truncated_at_any_byte_is_rejected():
    text = json.dumps(configuration())
    config_from_document(json.loads(text), "FILE", OperatorSettings())
    for size in range(len(text)):
        try:
            document = json.loads(text[:size])
        except ValueError:
            continue
        assert first_fault(document) is not None


def test_keys_of_the_current_configuration_may_not_go_but_list_entries_may():
    current = configuration()
    assert missing_key(configuration(), current) is None
    assert missing_key(changed("settings.overShareWorth", 0.5), current) is None
    for path in ("limits.sockets", "settings.familyInfo.idleMs", "settings.limits.retryAfter", "settings.tenants"):
        assert missing_key(changed(path, DELETED), current) == f"{path} is missing; the configuration in use has it"
    assert missing_key(changed("settings.tenants", current["settings"]["tenants"][:1]), current) is None


def test_dropped_class_is_accepted_for_the_grace_time_then_known_for_its_window_then_forgotten():
    limits = Limits(
        dropped_class_grace_ms=2500.0, max_repeat_delay_ms=5000.0, lost_run_timeout_ms=100.0, max_dropped_classes=2
    )
    first, second = (
        config_from_document(document, "FILE", OperatorSettings()).settings
        for document in (configuration(), changed("settings.classes.3.name", "submit-time-next"))
    )
    catalogue = Catalogue(first, limits)
    assert catalogue.accepts("submit-time", 0) and not catalogue.accepts("submit-time-next", 0)
    assert catalogue.change(second, 0) is None
    assert catalogue.accepts("submit-time-next", 0)
    assert catalogue.accepts("submit-time", 2499) and not catalogue.accepts("submit-time", 2500)
    assert [request_class.name for request_class in catalogue.effective_settings.classes][-2:] == [
        "submit-time-next",
        "submit-time",
    ]
    assert not catalogue.purge(15_499) and catalogue.find_class("submit-time") is first.classes[3]
    assert catalogue.change(first, 10_000) is None  # dropped and added again
    assert catalogue.accepts("submit-time", 20_000) and not catalogue.accepts("submit-time-next", 20_000)
    assert catalogue.purge(30_000) and catalogue.find_class("submit-time-next") is None
    for number in range(3):  # the number of remembered classes is bounded
        renamed = changed("settings.classes.3.name", f"c{number}")
        problem = catalogue.change(config_from_document(renamed, "FILE", OperatorSettings()).settings, 40_000)
    assert problem is not None and "may be" in problem and "c2" not in catalogue.active_classes


def test_cold_start_flag_survives_a_change():
    document = configuration()
    document["settings"]["familyInfo"]["cold"] = True
    catalogue = Catalogue(config_from_document(document, "FILE", OperatorSettings()).settings, Limits())
    catalogue.change(config_from_document(configuration(), "FILE", OperatorSettings()).settings, 0)
    assert catalogue.effective_settings.cold
