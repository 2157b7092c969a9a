"""Discovery of servers by service records: which servers are known from a list that is polled."""
