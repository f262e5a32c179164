"""Property tests of the invariants: stateful fuzzing against simple models."""
