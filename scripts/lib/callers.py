"""Callers of the entry instances that check every answer they get."""

import dataclasses
import http.client
import json
import re
import socket
import time

TOKEN = re.compile(r"t(\d+)-(\S+) ")


@dataclasses.dataclass
class Exchange:
    """One HTTP exchange: what was asked of which instance, and what came back."""

    instance: str
    started: float
    ended: float = 0.0
    status: int = 0
    verdict: str = ""
    error: str = ""  # refused, cut, silent or malformed; empty when a whole answer came
    retry_after: float = 0.0
    tokens: int = 0  # offset of the last token received
    crossed: bool = False
    whole: bool = False


@dataclasses.dataclass
class Logical:
    """One request of a caller over all its exchanges."""

    id: str
    kind: str
    key: str = ""
    wanted_tokens: int = 0
    exchanges: list = dataclasses.field(default_factory=list)

    @property
    def outcome(self):
        if any(one.whole for one in self.exchanges):
            return "complete"
        told = [one.verdict for one in self.exchanges if one.verdict in ("NotRun", "MayHaveRun")]
        if "MayHaveRun" in told:
            return "mayhaverun"
        untold = any(not one.verdict and one.error != "refused" for one in self.exchanges)
        return "untold" if untold or not told else "notrun"


class Caller:
    """Sends requests of one customer to entry instances."""

    def __init__(self, ports, bearer, silence_s):
        self.ports = ports
        self.bearer = bearer
        self.silence_s = silence_s

    def plain(self, logical, instance, path, attempt):
        """Calls a plain service; attempt 0 leaves the attempt header out."""
        headers = self._headers(logical, attempt)
        return self._exchange(logical, instance, path, {"for": logical.id}, headers,
                              self._check_plain)

    def whole(self, logical, instance, model, attempt=0):
        body = {"model": model, "prompt": "a b c", "max_tokens": logical.wanted_tokens}
        return self._exchange(logical, instance, "/v1/completions", body,
                              self._headers(logical, attempt), self._check_whole)

    def stream(self, logical, instance, model, after, attempt=0):
        """Streams the answer from the token after `after`."""
        headers = self._headers(logical, attempt)
        if after:
            headers["Last-Event-ID"] = str(after)
        body = {"model": model, "messages": [{"role": "user", "content": "a b c"}],
                "max_tokens": logical.wanted_tokens, "stream": True}
        return self._exchange(logical, instance, "/v1/chat/completions", body, headers,
                              lambda *given: self._check_stream(*given, after))

    def _headers(self, logical, attempt):
        headers = {"Authorization": f"Bearer {self.bearer}", "Content-Type": "application/json",
                   "Gentianramp-Request-Id": logical.id}
        if logical.key:
            headers["Idempotency-Key"] = logical.key
        if attempt:
            headers["Gentianramp-Attempt"] = str(attempt)
        return headers

    def _exchange(self, logical, instance, path, body, headers, check):
        exchange = Exchange(instance, time.time())
        logical.exchanges.append(exchange)
        connection = http.client.HTTPConnection("127.0.0.1", self.ports[instance],
                                                timeout=self.silence_s)
        try:
            connection.connect()
        except OSError:
            exchange.error = "refused"
            exchange.ended = time.time()
            return exchange
        try:
            connection.request("POST", path, json.dumps(body), headers)
            answer = connection.getresponse()
            exchange.status = answer.status
            exchange.verdict = answer.headers.get("Gentianramp-Verdict", "")
            exchange.retry_after = float(answer.headers.get("Retry-After") or 0)
            if answer.status == 200:
                check(logical, exchange, answer)
            else:
                answer.read()
        except socket.timeout:
            exchange.error = "silent"
        except (OSError, http.client.HTTPException):
            exchange.error = "cut"
        except (ValueError, KeyError, IndexError):
            exchange.error = "malformed"
        finally:
            connection.close()
            exchange.ended = time.time()
        return exchange

    @staticmethod
    def _check_plain(logical, exchange, answer):
        result = json.loads(answer.read())
        exchange.crossed = (result["key"] or result["request_id"]) != (logical.key or logical.id)
        exchange.whole = not exchange.crossed

    @staticmethod
    def _check_whole(logical, exchange, answer):
        text = json.loads(answer.read())["choices"][0]["text"]
        Caller._take_tokens(logical, exchange, text, 0)
        exchange.whole = exchange.tokens == logical.wanted_tokens and not exchange.crossed

    @staticmethod
    def _check_stream(logical, exchange, answer, after):
        exchange.tokens = after
        verdict = ""
        for raw in answer:
            line = raw.decode().rstrip("\n")
            if line.startswith("event: error"):
                verdict = "MayHaveRun"
            if not line.startswith("data: "):
                continue
            data = line[len("data: "):]
            if data == "[DONE]":
                exchange.whole = (exchange.tokens == logical.wanted_tokens
                                  and not exchange.crossed)
                exchange.verdict = "Complete"
                return
            if verdict:
                exchange.verdict = json.loads(data).get("error", {}).get("verdict", verdict)
                return
            text = json.loads(data)["choices"][0]["delta"].get("content", "")
            Caller._take_tokens(logical, exchange, text, exchange.tokens)
        exchange.verdict = ""
        exchange.error = "cut"

    @staticmethod
    def _take_tokens(logical, exchange, text, before):
        """Notes tokens; a gap, a repeat or a token of another request counts as crossed."""
        expected = before
        for offset, request in TOKEN.findall(text):
            expected += 1
            if int(offset) != expected or request != logical.id:
                exchange.crossed = True
            exchange.tokens = int(offset)
