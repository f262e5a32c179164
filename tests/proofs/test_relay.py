"""Point 8 of PROOFS.md: a caller gets the whole answer to its own request.

Attempts that were abandoned may still send tokens.
"""

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from plantainwood.core.relay import Answer, Step
from tests.seeds import pin_seed


def make_token(request: int, index: int) -> str:
    """Return the correct token of a request at an index."""
    return f"{request}:{index}"


class Attempt:
    """An attempt at a request, which may continue after it was abandoned."""

    def __init__(self, request: int, number: int, start: int, length: int) -> None:
        self.request = request
        self.number = number
        self.index = start
        self.length = length


@pin_seed("RelayMachine")
class RelayMachine(RuleBasedStateMachine):
    """Two requests with attempts that lose tokens, resume, interleave and come late."""

    def __init__(self) -> None:
        super().__init__()
        self.answers = [Answer(), Answer()]
        self.lengths = [3, 2]
        self.sent: list[list[str]] = [[], []]
        self.attempts: list[Attempt] = []

    @rule(request=st.integers(0, 1))
    def begin(self, request: int) -> None:
        """An attempt starts after the tokens that the caller already has."""
        answer = self.answers[request]
        if answer.finished:
            return
        number = answer.begin_attempt()
        start = len(answer.tokens)
        length = self.lengths[request]
        self.attempts.append(Attempt(request, number, start, length))

    @rule(
        which=st.integers(0, 20),
        kind=st.sampled_from(["next", "next", "next", "repeat", "skip", "lost"]),
    )
    def produce(self, which: int, kind: str) -> None:
        """An attempt, current or abandoned, sends a token.

        The token may be repeated, skip one, or get lost.
        """
        if not self.attempts:
            return
        attempt = self._pick(which)
        if attempt.index >= attempt.length:
            return
        index = attempt.index
        if kind == "lost":
            attempt.index += 1
            return
        if kind == "repeat":
            index = max(0, index - 1)
        elif kind == "skip":
            index += 1
        token = make_token(attempt.request, index)
        step = self.answers[attempt.request].accept(attempt.number, index, token)
        if attempt.number != self.answers[attempt.request].attempt:
            assert step is Step.DROP, "a token of an abandoned attempt"
        if step is Step.FORWARD:
            self.sent[attempt.request].append(token)
        if kind == "next":
            attempt.index += 1

    def _pick(self, which: int) -> Attempt:
        """Return one of the newest attempts, current or abandoned."""
        newest = self.attempts[-5:]
        return newest[which % len(newest)]

    @rule(which=st.integers(0, 20))
    def end(self, which: int) -> None:
        """An attempt reports its end, though tokens may have been lost."""
        if not self.attempts:
            return
        attempt = self._pick(which)
        if attempt.index >= attempt.length:
            answer = self.answers[attempt.request]
            answer.finish(attempt.number, attempt.length)

    @rule(which=st.integers(0, 20))
    def lose_the_rest_and_end(self, which: int) -> None:
        """An attempt loses all its further tokens, and reports its end."""
        if not self.attempts:
            return
        self._pick(which).index = self._pick(which).length
        self.end(which)

    @invariant()
    def whole_and_own(self) -> None:
        """A caller gets a prefix of its answer, and all of it once it is finished."""
        for request, answer in enumerate(self.answers):
            length = self.lengths[request]
            expected = [make_token(request, index) for index in range(length)]
            sent = self.sent[request]
            assert sent == expected[: len(sent)], "repeated, missing or foreign token"
            if answer.finished:
                assert sent == expected, "finished before the whole answer"


TestRelay = RelayMachine.TestCase
