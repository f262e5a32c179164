"""The path of a request: filters in order, each able to refuse with a code."""
