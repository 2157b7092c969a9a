"""Durable storage: access to files, a checksummed log in segments, group commit, snapshots and a folder's lock."""
