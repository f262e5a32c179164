"""Measurements, experiments and mutation checks."""
