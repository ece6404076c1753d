"""Example programs that use gypsumwalk, and example configuration folders."""
