"""Small stand-ins for the systems that plantainwood talks to, with faults on call."""
