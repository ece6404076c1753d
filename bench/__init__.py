"""Benchmarks of gypsumwalk; results are stored in docs/measurements."""
