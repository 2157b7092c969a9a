"""Start and stop: configuration, wiring and the drain."""
