"""Service records followed: what is known of the servers that a list names."""
