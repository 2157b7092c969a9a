"""What a node holds for others, on further members: placement, agreement, takeover, refill. Pure but for the store."""
