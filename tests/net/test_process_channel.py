"""The channel between two processes of one gateway, where one of them dies or the system fails."""

import asyncio
import socket

from quota_gateway.net.process_channel import ChannelMessage, ProcessChannel

END_TIMEOUT_S = 5.0  # generous: the end is due in the next turns of the loop


async def test_channel_ends_when_the_other_process_dies_with_messages_unread():
    ours, theirs = socket.socketpair(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    channel, ended = ProcessChannel(ours), asyncio.Event()
    channel.on_end = ended.set
    channel.send(ChannelMessage({"kind": "unread"}))
    theirs.close()
    await asyncio.wait_for(ended.wait(), END_TIMEOUT_S)
