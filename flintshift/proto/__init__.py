"""Schemas in Protocol Buffers and the modules made of them by ``make proto``; ``make check`` sees that they fit."""
