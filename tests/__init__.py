"""Tests of plantainwood."""
