"""Stand-ins for what a node talks to, as real programs on loopback, callers, and the demo."""
