#pragma once

#include <cstdint>
#include <functional>
#include <gentianramp/core/clock.hpp>
#include <gentianramp/core/error.hpp>
#include <gentianramp/http/message.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace gentianramp {

/// A part of a prompt that other prompts may share.
struct PromptPart
{
    std::uint64_t id = 0;
    std::uint32_t tokens = 0;
    bool operator==(const PromptPart &) const = default;
};

/// The parts of a prompt in order; the last one belongs to this request alone.
struct PromptDescription
{
    std::vector<PromptPart> parts;
    std::uint32_t outputTokens = 0; ///< Upper bound of the answer's tokens; 0: unknown.
    bool operator==(const PromptDescription &) const = default;

    std::uint32_t tokens() const;
    /// Tokens of the parts that other requests may share: all but the last of several.
    std::uint32_t sharedTokens() const;
    /// Hash of the parts that other requests may share: all but the last of several.
    std::uint64_t sharedPrefixHash() const;
};

/// Load that a backend server states with an answer.
struct StatedLoad
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;
    std::uint32_t slownessPercent = 0; ///< Time that work takes now, of the usual; 0: not stated.
    bool operator==(const StatedLoad &) const = default;
};

/// Header names, values and parsers of the protocol spoken by callers and backend servers. Headers
/// with an empty name are not used.
struct BackendProtocol
{
    std::string requestId;     ///< Echoed by backend servers.
    std::string timeBudget;    ///< Milliseconds for which the sender keeps waiting.
    std::string lastEventId;   ///< The stream resumes after this event.
    std::string resumes;       ///< Id of the attempt that brought the stream's first event.
    std::string signature;     ///< On an answer: signature of the backend server.
    std::string target;        ///< Only the backend server of that id may run the request.
    std::string notRun;        ///< On an answer: the request did not run.
    std::string priority;      ///< 0 to 9, 0 first.
    std::string authorization; ///< Of callers: the customer's key, where customers are declared.
    std::string customer;      ///< Name of the customer; only instances set it.
    std::string load;          ///< On an answer: StatedLoad.
    std::string leaving; ///< On an answer: the backend server leaves if the value is leavingValue.
    std::string leavingValue;
    std::string limit;        ///< On an answer: requests per second taken from all instances.
    std::string prefixSource; ///< Address of an engine whose cached prefix is fetched first.
    /// With prefillValue, the engine only prefills the prompt and keeps its KV cache under a
    /// handle.
    std::string prefillOnly;
    std::string prefillValue;
    std::string kvSource; ///< ADDRESS/HANDLE of a prompt that another engine has prefilled.
    unsigned wrongTargetStatus = 421;         ///< The request was meant for another backend server.
    std::vector<std::string> callerHeaders;   ///< Headers that tell callers apart.
    std::vector<std::string> strippedHeaders; ///< Headers of callers that are not passed on.
    std::string reportPath; ///< Path of an engine's state; answering it takes no slot.
    std::function<std::optional<PromptDescription>(const HttpHeaders &)> prompt;
    std::function<std::optional<StatedLoad>(std::string_view)> parseLoad;
    /// Requests per second; an error says what is wrong with the text.
    std::function<Result<double>(std::string_view)> parseLimit;
    /// Start of an engine's process in the answer at reportPath; empty when there is none.
    std::function<std::optional<std::int64_t>(std::string_view body)> reportedStartMs;
    /// Handle in the body of an answer to a prefill; empty when there is none.
    std::function<std::string(std::string_view)> handle;
    /// Target and method that free a handle.
    std::function<HttpRequest(const std::string &handle)> freeHandle;
};

} // namespace gentianramp
