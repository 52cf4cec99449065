"""The states of both sides of a handover, and the transitions between them.

The value of a state is its label in the metric ``state_transitions_total``; labels never change.
"""

from __future__ import annotations

from enum import Enum


class SenderState(Enum):
    """Progress of the handover from this process to the next one. Only ``HandoverSender`` changes it.

    ======================== ================================================= ========================
    from                     when                                              to
    ======================== ================================================= ========================
    NOT_LISTENING            the socket at the rendezvous path is open         LISTENING
    LISTENING                a process sends Hello and is sent the state       STATE_SENT
    STATE_SENT               the next process sends Serving                    HANDING_OVER_CONNECTIONS
    STATE_SENT               its channel ends, or it is silent for 1.5 s       LISTENING
    HANDING_OVER_CONNECTIONS its channel ends                                  NOT_LISTENING
    ======================== ================================================= ========================

    If a channel ends while no listener is open, the state is NOT_LISTENING until this process listens again.
    """

    NOT_LISTENING = "sender_not_listening"  # there is no usable path, or this process ends
    LISTENING = "sender_listening"  # this process serves and waits for a next process
    STATE_SENT = "sender_state_sent"  # neither process accepts clients until the next one serves
    HANDING_OVER_CONNECTIONS = "sender_passing_connections"  # connections are handed over one by one


class ReceiverState(Enum):
    """Progress of the takeover from the previous process. Only ``HandoverReceiver`` changes it.

    =============== ========================================= ==============
    from            when                                      to
    =============== ========================================= ==============
    NOT_TAKING_OVER the previous process's state is restored  SERVING
    SERVING         the channel to the previous process ends  PREVIOUS_ENDED
    =============== ========================================= ==============
    """

    NOT_TAKING_OVER = "receiver_not_taking_over"  # there is no previous process, or no state from it yet
    SERVING = "receiver_serving"  # the previous process hands its connections over
    PREVIOUS_ENDED = "receiver_previous_ended"
