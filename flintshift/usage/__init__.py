"""The ledger of use: what each club used in each period, corrected, closed and exported once."""
