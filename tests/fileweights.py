"""What each test file needs beside others: its processes, or a machine of its own."""

import os

CROWD_FILES = (
    "test_client_limits",
    "test_client_limits_node",
    "test_body_memory",
    "test_chunk_turns",
    "test_endless_answers",
    "test_duty_handovers",
    "test_soak",
)
"""Files whose tests make the load themselves: they run alone, one after the other."""

PROCESSES = {
    "test_admin_explain": 6,
    "test_allowed_regions": 3,
    "test_bad_input": 5,
    "test_cold_wire": 4,
    "test_duties": 10,
    "test_evacuated_section": 9,
    "test_evacuation": 2,
    "test_failures_through_vms": 3,
    "test_faults": 9,
    "test_head_requests": 3,
    "test_identity": 7,
    "test_late_requests": 2,
    "test_link_strangers": 2,
    "test_malformed_data": 3,
    "test_odd_entries": 3,
    "test_other_input": 1,
    "test_out_of_step": 3,
    "test_path": 8,
    "test_repeated_refusals": 2,
    "test_restart_after_return": 6,
    "test_return_of_all": 4,
    "test_sealed_answers": 3,
    "test_server_entries": 3,
    "test_store_copies": 4,
    "test_silence_watch": 1,
    "test_streams_in_silence": 2,
    "test_streams_of_lost_vms": 3,
    "test_two_builds": 3,
    "test_two_node_builds": 10,
    "test_unrelated_crashes": 3,
}
"""The most processes that a file has at a time, of the files that start daemons."""

LONGEST_FILES = (
    "test_customer_shares",
    "test_unrelated_crashes",
    "test_faults",
    "test_late_requests",
    "test_cold_upstreams",
    "test_two_builds",
    "test_engine_pace",
    "test_other_input",
    "test_domain_overflow",
    "test_sealed_answers",
    "test_streams_of_lost_vms",
    "test_odd_entries",
    "test_brittle_upstreams",
    "test_link_strangers",
    "test_lost_paths",
    "test_http_clients",
    "test_failures_through_vms",
    "test_duties",
    "test_evacuation",
)
"""The files that take longest, in the order in which they begin."""

PROCESSES_PER_CORE = 3
CORES_PER_WORKER = 2
MOST_WORKERS = 8


def count_cores() -> int:
    """Return how many cores this process may use."""
    return len(os.sched_getaffinity(0))


def count_workers(cores: int) -> int:
    """Return how many files run side by side on a machine with so many cores."""
    return max(1, min(MOST_WORKERS, cores // CORES_PER_WORKER))


def count_processes(cores: int) -> int:
    """Return how many processes all files may have at a time on so many cores."""
    return max(1, cores * PROCESSES_PER_CORE)


def find_place(stem: str) -> int:
    """Return the place of a file in the order in which files begin."""
    if stem in LONGEST_FILES:
        return LONGEST_FILES.index(stem)
    return len(LONGEST_FILES) + (stem not in PROCESSES)
