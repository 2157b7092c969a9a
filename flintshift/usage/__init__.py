"""The usage ledger: records what each club used in each period, with corrections, and exports closed periods once."""
