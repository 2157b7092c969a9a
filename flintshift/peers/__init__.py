"""Who the other members are, and who of them lives. Pure."""
