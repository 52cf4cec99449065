"""Parsing of the replies of servers."""

from quota_gateway import AttemptStatus
from quota_gateway.net.upstream.attempt import UpstreamReply
from quota_gateway.net.upstream.reply_parser import ReplyParser


def test_usage_and_load_reports_are_parsed_from_replies_and_error_lines():
    parse = ReplyParser(("utilisation", "queue"), 1.0).parse
    assert parse([b"v", b"used=37,cost=4", b"inflight=7,queue=2,util=0.61"]) == UpstreamReply(
        AttemptStatus.OK, b"v", 37.0, 4.0, (0.61, 2.0)
    )
    assert parse([b"v", None, None]) == UpstreamReply(AttemptStatus.OK, b"v")
    assert parse("ERR failed used=120 util=0.5,queue=3") == UpstreamReply(
        AttemptStatus.ERROR, None, 120.0, None, (0.5, 3.0)
    )
    assert parse("BUSY used=9") == UpstreamReply(AttemptStatus.OVERLOADED, None, 9.0)
    assert parse([b"v", b"used=x,,=,nan", b"util=0.5"]) == UpstreamReply(AttemptStatus.OK, b"v")
