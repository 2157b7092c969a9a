"""The upgrade of a running node: a successor process takes over from the one that serves."""
