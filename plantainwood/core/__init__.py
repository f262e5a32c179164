"""Pure decisions: typed values in, typed values out, time and randomness given."""
