"""Spoken on the wire: the forwarders. They parse, hand over and write; they never decide."""
