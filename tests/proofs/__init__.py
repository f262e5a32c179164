"""Proofs of what must always hold: stateful fuzzing against simple oracles."""
