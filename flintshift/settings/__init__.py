"""What a node is set to: the platform's settings, and the operators' own file with units and checks."""
