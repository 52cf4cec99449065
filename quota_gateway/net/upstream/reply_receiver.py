"""Receives the reply to an attempt: buffers a small value, streams a large one."""

from __future__ import annotations

from collections.abc import Callable

from quota_gateway.net.resp import ReplyReader
from quota_gateway.net.upstream.attempt import Attempt, UpstreamReply
from quota_gateway.net.upstream.reply_parser import ReplyParser


class ReplyReceiver:
    """Assembles replies from the bytes of one connection, and counts the bytes that it buffers.

    Args:
        parser: Parses complete replies.
        count_buffered: Called with each change of the number of buffered bytes; raises ProtocolError if
            there are too many.
        clock_s: Returns the time of the event loop, in seconds.

    Attributes:
        last_progress_s: The loop time at which a piece of a large value was last received, or reading was
            last paused or resumed.
    """

    __slots__ = (
        "_buffered_bytes",
        "_clock_s",
        "_count_buffered",
        "_is_closed",
        "_parser",
        "_reader",
        "last_progress_s",
    )

    def __init__(
        self,
        parser: ReplyParser,
        count_buffered: Callable[[int], None],
        clock_s: Callable[[], float],
    ) -> None:
        self._parser = parser
        self._count_buffered = count_buffered
        self._clock_s = clock_s
        self._reader = ReplyReader()
        self._buffered_bytes = 0  # bytes of an incomplete reply
        self._is_closed = False
        self.last_progress_s = 0.0

    @property
    def has_surplus_bytes(self) -> bool:
        """Whether bytes were received after the last complete reply."""
        return bool(self._reader.buffer)

    def feed(self, data: bytes, attempt: Attempt) -> UpstreamReply | None:
        """Add received bytes to the reply to an attempt.

        Returns:
            The reply once it is complete; None until then, and if a callback of the attempt closed the
            connection.

        Raises:
            ProtocolError: The reply is malformed, or too many bytes are buffered.
        """
        self._reader.receive_data(data)
        raw_reply = self._reader.next_reply()
        if raw_reply is None and self._reader.streamed_bytes_left is not None:
            self._stream_body(attempt, self._reader.streamed_bytes_left)
            if self._is_closed:
                return None
            raw_reply = self._reader.next_reply()
        if raw_reply is None:
            self._change_buffered(len(self._reader.buffer) - self._buffered_bytes)
            return None
        self._change_buffered(-self._buffered_bytes)
        return self._parser.parse(raw_reply)

    def _stream_body(self, attempt: Attempt, bytes_left: int) -> None:
        """Stream the received bytes of a large value, which is never buffered completely.

        The stream starts with the header: the server has begun its answer, however late the bytes come.
        """
        piece = self._reader.take_piece()
        if attempt.body_consumer is None:
            attempt.payload = ()
            body_consumer = attempt.on_body_started(bytes_left)
            if self._is_closed:
                return  # The connection was closed because the value is no longer wanted.
            attempt.body_consumer = body_consumer
        elif not piece:
            return
        self.last_progress_s = self._clock_s()
        attempt.body_consumer(piece)

    def on_reading_changed(self) -> None:
        """Measure the time without progress from now on, as reading was paused or resumed."""
        self.last_progress_s = self._clock_s()

    def close(self) -> None:
        """Stop counting the buffered bytes, as the connection closes."""
        self._is_closed = True
        self._change_buffered(-self._buffered_bytes)

    def _change_buffered(self, change_bytes: int) -> None:
        if change_bytes:
            self._buffered_bytes += change_bytes
            self._count_buffered(change_bytes)
