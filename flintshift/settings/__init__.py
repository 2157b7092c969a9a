"""Settings of a node: the platform's, and the operators' file with its units and checks."""
