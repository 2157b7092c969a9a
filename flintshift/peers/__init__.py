"""The other members of the fleet and which of their processes are alive, without I/O."""
