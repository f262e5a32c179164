"""Measurements, simulated experiments and the mutation check."""
