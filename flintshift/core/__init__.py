"""Kept in memory: requests, attempts, outcomes and the planners. No wire is known here, nothing is sent."""
