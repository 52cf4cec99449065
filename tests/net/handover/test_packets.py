"""The packet format of messages on a process channel, without sockets."""

import os

import pytest

from quota_gateway.errors import HandoverError
from quota_gateway.net.handover.packets import (
    PIECE_BYTES,
    ChannelMessage,
    MessageAssembler,
    split_into_packets,
)


@pytest.mark.parametrize("size", [0, 1, PIECE_BYTES, 2 * PIECE_BYTES + 1])
def test_message_split_into_packets_is_reassembled(size):
    packets = split_into_packets(ChannelMessage({"kind": "holds"}, b"x" * size))
    assembler = MessageAssembler()
    received = [assembler.add_packet(packet.data, is_truncated=False) for packet in packets]
    assert received[:-1] == [None] * (len(packets) - 1)
    assert (received[-1].header, received[-1].body) == ({"kind": "holds"}, b"x" * size)
    assert [packet.data[:1] for packet in packets] == [b"+"] * (len(packets) - 1) + [b"."]


def test_descriptor_goes_with_the_first_packet():
    packets = split_into_packets(ChannelMessage({}, b"x" * 2 * PIECE_BYTES, descriptor=7))
    assert [packet.descriptor for packet in packets] == [7, None, None]


@pytest.mark.parametrize(
    ("packet", "is_truncated", "reason"),
    [
        (b"?{}\n", False, "malformed packet"),
        (b".{}\n", True, "malformed packet"),
        (b".[]\n", False, "malformed header"),
        (b".{\n", False, "malformed header"),
    ],
)
def test_malformed_packet_or_header_is_rejected(packet, is_truncated, reason):
    with pytest.raises(HandoverError, match=f"^{reason}$"):
        MessageAssembler().add_packet(packet, is_truncated)


def test_first_descriptor_of_a_message_is_kept_and_all_others_are_closed():
    assembler = MessageAssembler()
    first, second = os.pipe()
    assembler.add_descriptors([first, second])
    with pytest.raises(OSError, match="Bad file descriptor"):
        os.fstat(second)
    assembler.close()
    with pytest.raises(OSError, match="Bad file descriptor"):
        os.fstat(first)
