"""How a node limits its calls to services that it shares with hundreds of other nodes: at its start, and on retries."""
