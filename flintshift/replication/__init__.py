"""Replication of keys and usage ledgers: placement, consensus, takeover and refill. Only `store` does I/O."""
