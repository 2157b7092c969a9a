"""How a node asks of services that it shares with hundreds of others: when first, how often, and when again."""
