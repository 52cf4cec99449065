"""The measurement by list length recognizes a rejected list by an event that gateways log."""

from scale.measurements.list_length import REJECTED_LIST_LOG_TEXT
from tests.support.log_events import read_logged_events
from tests.support.source_index import source_files


def test_text_of_a_rejected_list_is_an_event_that_a_gateway_logs():
    events = read_logged_events(source_files("quota_gateway/net/discovery")).keys
    assert REJECTED_LIST_LOG_TEXT in events
