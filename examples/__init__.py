"""Whole programs that use gypsumwalk, and the folders of its first users."""
