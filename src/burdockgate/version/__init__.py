"""Immutable state that is folded from a stream of the log, one object per version."""
