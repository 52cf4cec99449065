"""The channel between two processes when one of them ends, or the system runs out of buffers."""

import asyncio
import errno
import socket

from quota_gateway.net.handover.process_channel import ChannelMessage, ProcessChannel

END_TIMEOUT_S = 5.0  # generous: the awaited event needs only a few iterations of the event loop


async def test_channel_ends_when_the_peer_process_ends_with_messages_unread():
    ours, theirs = socket.socketpair(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    channel, ended = ProcessChannel(ours), asyncio.Event()
    channel.on_end = ended.set
    channel.send(ChannelMessage({"kind": "unread"}))
    theirs.close()
    await asyncio.wait_for(ended.wait(), END_TIMEOUT_S)


async def test_message_is_sent_once_the_system_has_buffers_again():
    ours, theirs = socket.socketpair(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    channel, received = ProcessChannel(ours), asyncio.get_running_loop().create_future()
    other = ProcessChannel(theirs)
    other.set_receiver(lambda message: received.set_result(message.header))
    errors = [errno.ENOBUFS, errno.ENOMEM]

    class ShortOfBuffers:
        def __getattr__(self, name):
            return getattr(ours, name)

        def send(self, data):
            if errors:
                raise OSError(errors.pop(), "injected fault")
            return ours.send(data)

    channel.sock = ShortOfBuffers()
    channel.send(ChannelMessage({"kind": "late"}))
    assert await asyncio.wait_for(received, END_TIMEOUT_S) == {"kind": "late"}
    channel.close("the test is over")
    other.close("the test is over")
