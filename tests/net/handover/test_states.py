"""The states of a handover: their labels in the metrics, and the transitions between them."""

from quota_gateway.net.handover.handover import request_handover
from quota_gateway.net.handover.states import ReceiverState, SenderState
from quota_gateway.telemetry import Metric
from tests.support.gateway_node import run_gateway, wait_until


def test_labels_of_the_states_never_change():
    assert [state.value for state in SenderState] == [
        "sender_not_listening",
        "sender_listening",
        "sender_state_sent",
        "sender_passing_connections",
    ]
    assert [state.value for state in ReceiverState] == [
        "receiver_not_taking_over",
        "receiver_serving",
        "receiver_previous_ended",
    ]


def transitions(gateway) -> dict[str, int]:
    """Return how often each state of a handover was entered."""
    metrics = gateway.driver.telemetry.metrics
    counts = {
        state.value: metrics.value(Metric.STATE_TRANSITIONS, state.value)
        for state in (*SenderState, *ReceiverState)
    }
    return {label: count for label, count in counts.items() if count}


async def test_each_side_counts_the_states_that_it_enters(tmp_path):
    async with run_gateway() as old, run_gateway() as new:
        old.handover.sender.path = new.handover.sender.path = tmp_path / "rendezvous"
        old.handover.listen()
        handover_state = await request_handover(new.handover.path)
        assert transitions(old) == {"sender_listening": 1, "sender_state_sent": 1}
        new.handover.take_over(handover_state, 0)
        await wait_until(lambda: old.handover.sender.state is SenderState.HANDING_OVER_CONNECTIONS)
        handover_state.channel.close("the test is over")
        await wait_until(lambda: old.peers.next is None)
        assert transitions(old) == {
            "sender_listening": 2,  # the sender listens again after the next process ends
            "sender_state_sent": 1,
            "sender_passing_connections": 1,
            "sender_not_listening": 1,
        }
        assert transitions(new) == {"receiver_serving": 1, "receiver_previous_ended": 1}
        handover_state.listener.close()
        old.handover.close()
