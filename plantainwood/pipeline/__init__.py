"""The filters that each request passes in order; each may refuse it with a code."""
