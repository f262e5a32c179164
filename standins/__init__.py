"""Stand-ins for the systems that plantainwood talks to, with injectable faults."""
