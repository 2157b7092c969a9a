"""Fair queues by club and, within a club, by caller. ``fair_queue.py`` has the algorithm; the package does no I/O."""
