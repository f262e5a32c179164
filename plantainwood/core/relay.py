"""Relay of one answer: whole, in order, from the current attempt only."""

from enum import Enum


class RelayAction(Enum):
    """What to do after a piece of an answer came in."""

    FORWARD = "forward"
    DROP = "drop"
    RESUME = "resume"


class Answer:
    """The answer to one request, made of one or more attempts.

    Tokens are numbered from 0 over the whole answer. Only the current attempt
    may add to it, and only the next token; so nothing is repeated, missing or
    foreign when an abandoned attempt answers late.
    """

    __slots__ = ("tokens", "attempt", "finished")

    def __init__(self) -> None:
        self.tokens: list[str] = []
        self.attempt = 0
        self.finished = False

    def begin_attempt(self) -> int:
        """Start a new attempt that resumes after the tokens so far."""
        self.attempt += 1
        return self.attempt

    def accept(self, attempt: int, index: int, token: str) -> RelayAction:
        """Take a token in; FORWARD means that it is new and the caller's."""
        if attempt != self.attempt or self.finished:
            return RelayAction.DROP
        if index < len(self.tokens):
            return RelayAction.DROP
        if index > len(self.tokens):
            return RelayAction.RESUME
        self.tokens.append(token)
        return RelayAction.FORWARD

    def finish(self, attempt: int, count: int) -> RelayAction:
        """End the answer if the attempt is current and every token has come."""
        if attempt != self.attempt or self.finished:
            return RelayAction.DROP
        if count != len(self.tokens):
            return RelayAction.RESUME
        self.finished = True
        return RelayAction.FORWARD
