"""Fixed seeds of the property tests in CI.

Hypothesis derives the seed of a derandomized test from the test's source, so without
these a renamed identifier would change the examples that CI runs.
"""

import os
from typing import Callable

from hypothesis import seed

SEEDS = {
    "BillingMachine": (
        "2d41a5aff538e655b132f46f1593e6e7c840c5fa65fb7e38"
        "088050766dc9a1fb0b069703510972ecd622b3f2a998c15a"
    ),
    "CatalogueMachine": (
        "83e21c003457aa9bcba57846c395e8173784901ea3fb60b8"
        "009e58842374dcb8c4fe6852e72c69bca10bf147665697b1"
    ),
    "ClaimMachine": (
        "7059391993fd933732315526c23903d029d2bdc4ef8a43d1"
        "96f11bc8aae88ed69c2129fb5da396c18b0b516baad559c8"
    ),
    "test_a_crashing_request_crashes_at_most_two_upstreams": (
        "c3e3a6d447147d844841a4a144fec1b51930fd8210be258a"
        "3a8dc663834793a1dc2f3c36286a4d58ace9a6bdc667618d"
    ),
    "test_evictions_of_whole_domains_block_no_request": (
        "97951d51fc8616a9a2ef95527bfb61635093860ab4a6ca67"
        "47e05485435af2e60fcf8a30d244b1e7248f8a10ca2e441c"
    ),
    "LeaseMachine": (
        "1833cb518f4a8bfa086a5783d4d91b369b63683071d048c8"
        "56d93207c4a3bdd1726709b026d2b423f2d9fb7f96738516"
    ),
    "MirrorMachine": (
        "a262d62f57d8d8b053ac7f477dd392a65f27ee87d9077bef"
        "fd761cf701568ddbef55137ef2c5e5a4cbc3f7a2ae6b91dd"
    ),
    "PromptMachine": (
        "2977c0f2bb2fd4bf85f5ff2def325a699cf23f84cd029efa"
        "9ca71a4e3f4808c22e6c8235fd788d5dbfb7eae563b1c786"
    ),
    "RelayMachine": (
        "0d57942e6d02320776915662826ed6f99c7c506a61bf9e3b"
        "a05ff5fb208b97cd4384a303348cc660934d743c31dc8351"
    ),
    "RequestMachine": (
        "33534ca44ab73f2e2ef97652b11ba80e2c2d5200982aa83d"
        "e7e80569437387fb0b22fc145a95968ca84dc19f9a9d4077"
    ),
    "ReservationMachine": (
        "c2b00576a0747cbbe7c46ba62021744e3776f61bdb47eb34"
        "ea62193afe5c7cbcbe71a52cbfde27df1c54957fd0000616"
    ),
    "SizeMachine": (
        "3bf037d47de313c57513bcbb2b6db27d85de20d3e78f6408"
        "0131b56cce5cc6cd720bc68e44616558bda74c5ce1707f15"
    ),
    "test_a_plan_runs_under_endless_urgent_load": (
        "1c6ca70f51b643e7a9685bf90308cea82ed440b82c66d8f0"
        "756bb9a10bc49ad9bac1a67186634f0ca8827ca24da01570"
    ),
    "test_a_heavy_customer_gets_no_more_than_its_share": (
        "8789569f0e072daef382510aa9735bd966e172aa7110fa10"
        "2932bbf3c138d9dae72b0a4e02f627cdd40ebdb127fa62f8"
    ),
    "WithdrawalMachine": (
        "6960c3a545800fe2b0d2a373010d70c640cd973bb032a2b3"
        "d6a0519b3744e1543d7b9b45e71c36388aab86ca7e3cdbca"
    ),
    "test_any_split_of_the_bytes_gives_the_same_events": (
        "5bca2aa106aab329ce023e5f19aa6f13604d195dc02d1043"
        "1b00f497a3d0d7b8adcea40eb5e9bc22da1d4a5546eb704b"
    ),
    "test_the_newest_record_of_a_run_counts_in_any_order": (
        "4b668cbd1b9432e0b2c6159281b3699853e7a69c78fb3476"
        "0b8242e4f477fd2a2813afaa9d32cb3e292042a2524ebc01"
    ),
    "test_shares_in_force_never_exceed_the_limit": (
        "2de565226add5179bb8d52fe5719c3c15a599cbd3b724cd0"
        "6dad45beab3af34275bf5a2960dd9531edc729b61031e00c"
    ),
    "test_a_node_admits_no_more_than_its_share": (
        "a08651616263bc00e44a5a9f1df98730cfbb42964c4dce5c"
        "adbad270e81db21533e21a561ef404b89c176eafa16eb48e"
    ),
    "test_at_most_a_third_is_ejected": (
        "dfc5c5c6ae6a2ffb0d9b42904e71569014498bfcf5491e7a"
        "ddc6eec81df97f222007f4a3c86150dcc8c2f9258cd6989e"
    ),
    "test_partners_are_few_and_mutual_and_reach_all_nodes": (
        "8741d7f7326dbf0ca42ffaea5b28485993c6b931c18a875a"
        "4c9a08c6a19de97cc65f2d7b6a3fe348fed5f3029b5148d6"
    ),
    "test_the_fleets_retries_stay_within_ratio_and_slack": (
        "a26028780251e3996f1f6d85d65e5882eeef63e32f923809"
        "22a47ac4665bcee852917fcc1894d293b51ac9aa9b31c4b3"
    ),
    "test_mirrors_agree_for_any_order_and_repetition_of_updates": (
        "ff8630ea3e1063a837e11cf956991e954fac3149d0e0eff4"
        "9594a11f2c192392ad34f642fa9fa63fd894983e2496c739"
    ),
    "test_any_changed_byte_is_refused": (
        "fa3dae02f930c3cbb0a251a84df32d59c14ab651c555c273"
        "64cc163f85b567833f8f55a1de20e16b256af36a3f59dabc"
    ),
    "test_comments_and_empty_lines_are_no_events": (
        "d331bc2fd8c96204593c89ea0a5ed71642f46f25c4bdfdcb"
        "953dde2721e17d08f72eb2dbf11426585459251379ed90d2"
    ),
    "test_merging_does_not_depend_on_order_or_repetition": (
        "9a32294eb854d869930694b25dd58c1cd43f4ac7aebd5888"
        "faf341460cc39154b0d24953b6d3191e7b0fdeec6bf6c97f"
    ),
}
"""Hexadecimal seeds by state machine or test: as derived from the source of 18099e1,
or, for later tests, any number."""


def pin_seed(name: str) -> Callable:
    """Return a decorator that gives a property test its seed in CI.

    An exploring run (`make fuzz SEED=...`) keeps the seed that it was started with.
    """
    if "FUZZ_SEED" in os.environ:
        return lambda test: test
    return seed(int(SEEDS[name], 16))
