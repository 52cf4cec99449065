"""JSON documents in a stream of lines: one per line or indented over many, with heartbeats between them."""

import pytest

from quota_gateway.errors import DiscoveryError
from quota_gateway.net.discovery.json_lines import HEARTBEAT, JsonLineReader


def read_all(*lines: bytes) -> list[object]:
    reader = JsonLineReader()
    return [reader.add_line(line) for line in lines]


def test_document_on_one_line_is_complete_at_once():
    assert read_all(b'{"a":1}', b"[2]") == [{"a": 1}, [2]]


def test_empty_line_between_documents_is_a_heartbeat():
    assert read_all(b"", b" \r", b"{}", b"") == [HEARTBEAT, HEARTBEAT, {}, HEARTBEAT]


def test_indented_document_is_complete_with_its_last_bracket():
    assert read_all(b"{", b'"a": [', b"1", b"]", b"}") == [None, None, None, None, {"a": [1]}]


def test_brackets_within_strings_do_not_count():
    assert read_all(b"{", rb'"a\"{": "[{"', b"}") == [None, None, {'a"{': "[{"}]


def test_null_document_is_ignored_and_is_not_a_heartbeat():
    assert read_all(b"null", b"{}") == [None, {}]


@pytest.mark.parametrize("lines", [[b"{", b""], [b"}"], [b"{", b"]"], [b"\xff"], [b"{", b'"a" 1}']])
def test_lines_that_cannot_form_a_document_are_rejected(lines):
    with pytest.raises(DiscoveryError):
        read_all(*lines)


def test_incomplete_document_is_returned_and_the_reader_starts_a_new_one():
    reader = JsonLineReader()
    reader.add_line(b"{")
    reader.add_line(b'"a":')
    assert reader.size_bytes == 5
    assert reader.take_incomplete() == b'{\n"a":'
    assert reader.size_bytes == 0
    assert reader.add_line(b"{}") == {}
