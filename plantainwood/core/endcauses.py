"""Why answers end unfinished after their receiver has got a part of them."""

from enum import Enum


class EndCause(Enum):
    """The cause of the end of a begun answer, as logs and metrics name it."""

    DEADLINE = "deadline"
    """The time of the call was over."""
    ATTEMPT_FAILED = "attempt_failed"
    """Its attempt failed, and no other could follow."""
    NO_UPSTREAM = "no_upstream"
    """It waited for a further attempt, and no upstream was there for it."""
    QUEUE_TIMEOUT = "queue_timeout"
    """It waited for a further attempt for too long."""
    SHED = "shed"
    """It waited for a further attempt, and more urgent requests took its place."""
    KEY_LOST = "key_lost"
    """Its key is withdrawn, or can't be confirmed."""
    CRASH_SUSPECT = "crash_suspect"
    """Requests like it have crashed upstreams."""
    REFUSED_BY_VM = "refused_by_vm"
    """Another VM was asked to go on with it and refused."""
    VM_STOPS = "vm_stops"
    """This VM stops, by plan."""
    CLIENT_LEFT = "client_left"
    """The receiver closed the connection, or the connection broke."""
    CLIENT_DROPPED = "client_dropped"
    """The bounds on clients made this VM close the receiver's connection."""
    ROUTER_FAILED = "router_failed"
    """An error of this program."""
    OTHER = "other"
