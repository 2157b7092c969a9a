"""The core in memory: requests, attempts, outcomes and the planners. It knows no protocol and does no I/O."""
