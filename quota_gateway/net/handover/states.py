"""The states of a handover, for either side, with the transitions between them.

The value of a state is its label in the metric ``state_transitions_total``; labels never change.
"""

from __future__ import annotations

from enum import Enum


class SenderState(Enum):
    """How far this process has handed over to the next one. ``HandoverSender`` alone changes it.

    ======================== ================================================= ========================
    from                     when                                              to
    ======================== ================================================= ========================
    NOT_LISTENING            the socket at the rendezvous path is made         LISTENING
    LISTENING                a process says hello, and gets the state          STATE_SENT
    STATE_SENT               it says that it serves                            HANDING_OVER_CONNECTIONS
    STATE_SENT               its channel ends, also for 1.5 s of silence       LISTENING
    HANDING_OVER_CONNECTIONS its channel ends                                  NOT_LISTENING
    ======================== ================================================= ========================

    A channel that ends while no listener is open leads to NOT_LISTENING, and from there to LISTENING again.
    """

    NOT_LISTENING = "sender_not_listening"  # without a path, or where it is refused, or as this process ends
    LISTENING = "sender_listening"  # for a process that takes over; this one serves
    STATE_SENT = "sender_state_sent"  # nobody accepts until the next process says that it serves
    HANDING_OVER_CONNECTIONS = "sender_passing_connections"  # each one on which no reply is pending


class ReceiverState(Enum):
    """How far this process has taken over from the previous one. ``HandoverReceiver`` alone changes it.

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
