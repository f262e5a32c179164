"""Output formats that people and programs read: logs, errors, tables, reports."""

import logging

from plantainctl.output import Format, render
from plantainwood.answers import render_error
from plantainwood.core.billing import FrozenWindow, encode_report
from plantainwood.core.errors import HTTP_STATUS, ErrorCode, Outcome, RequestError
from plantainwood.core.usage import UsageLine
from plantainwood.logs import FIELD_NAMES, LOG_FIELDS, JsonFormatter, KeyValueFormatter


def make_record() -> logging.LogRecord:
    """Return a record with fields that need quoting."""
    record = logging.LogRecord("plantainwood", 20, "", 1, "request", None, None)
    record.created, record.msecs = 0.0, 0.0
    record.customer = "norte"
    record.reason = 'said "no" twice\nand left'
    return record


def test_a_log_line_is_key_value_pairs(snapshot):
    line = KeyValueFormatter(LOG_FIELDS, rename_fields=FIELD_NAMES).format(
        make_record()
    )
    assert "\n" not in line
    assert line.partition(" level=")[2] == snapshot


def test_a_json_log_line_has_the_same_fields(snapshot):
    line = JsonFormatter(LOG_FIELDS, rename_fields=FIELD_NAMES).format(make_record())
    assert line.partition('"level"')[2] == snapshot


def test_an_error_body_gives_code_outcome_and_retry_after(snapshot):
    error = RequestError(ErrorCode.OVERLOADED, "too much", Outcome.NOT_RUN, 1_500)
    assert render_error(error, "r1") == snapshot


def test_every_error_code_has_an_http_status():
    assert set(HTTP_STATUS) == set(ErrorCode)


def test_rows_are_rendered_in_each_output_format(snapshot):
    rows = [{"node": "vm-1", "revision": 7}, {"node": "vm-12", "revision": 11}]
    for form in Format:
        assert render(rows, form) == snapshot


def test_the_encoding_of_a_usage_report_is_fixed(snapshot):
    lines = {"p/b/hint": UsageLine(1, 0, 9), "p/a/hint": UsageLine(2, 0, 8)}
    frozen = FrozenWindow(
        "p", 1_000, lines, {"0": {"p/a/hint": UsageLine(1, 0, 2)}}, {}, []
    )
    assert encode_report(frozen).decode() == snapshot
