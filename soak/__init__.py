"""Soak of the platform's daemons as processes, under faults that overlap."""
