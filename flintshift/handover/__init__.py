"""What two processes of one node agree on during an upgrade."""
