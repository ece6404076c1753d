"""Programs that measure gypsumwalk; results are kept as JSON in docs."""
