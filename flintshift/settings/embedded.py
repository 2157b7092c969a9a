"""The embedded default configuration, for a node on one machine with the stand-ins of ``lab/``."""

from __future__ import annotations

from typing import Any

PORTS = {"listen": 8080, "pool": 9300, "naming": 7946, "vault": 5432}
CLUBS = {"muscat-striders": 120.0, "sur-pacers": 60.0, "nizwa-harriers": 60.0}


def configuration(
    name: str = "node1", ports: dict[str, int] | None = None, cores: int = 2, memory_mb: int = 192
) -> dict[str, Any]:
    """Return the configuration as the parsed JSON of an LB_CONFIG file; all addresses are on this machine."""
    addresses = {setting: f"127.0.0.1:{port}" for setting, port in {**PORTS, **(ports or {})}.items()}

    def request_class(name: str, worth: float, effect: str, **optional: float) -> dict[str, Any]:
        return {"name": name, "onTimeMs": 900.0, "deadlineMs": 1500.0, "worth": worth, "effect": effect, **optional}

    return {
        "name": name,
        "seed": "8c1f30d27a5be964",
        "stop_ms": 3000.0,
        **addresses,
        "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": 1024},
        "settings": {
            "classes": [
                request_class("race-results", 1.0, "safe"),
                request_class("standings", 1.0, "safe"),
                request_class("finish-times", 1.0, "safe"),
                request_class("submit-time", 3.0, "keyed", lateWorth=0.2, repeatWindowMs=8000.0),
            ],
            "familyInfo": {
                "nCores": cores,
                "ramKb": 400_000.0,
                "runFactor": 8.0,
                "callsByClass": [True, False, False, True],
                "classSkipWorth": [0.5, 0.0, 0.0, 0.0],
                "callShare": 50.0,
                "callsOverMs": 5000.0,
                "entryKb": 1.0,
                "gauges": ["cpu_busy", "runnable", "mem_used", "sockets"],
                "idleMs": 30000.0,
                "deepChecks": True,
                "upstreams": 2,
                "halt": "none",
                "say": "none",
                "lingerMs": 10.0,
            },
            "rules": {"fallMultiple": 5.0, "drainGraceMs": 300.0},
            "limits": {"retryAfter": True, "maxRetryAfterMs": 1000.0},
            "clientHabits": {"marksRetry": True},
            "tenants": [{"name": club, "quotaPerS": quota} for club, quota in CLUBS.items()],
            "groupSize": 1,
        },
    }
