#pragma once

#include <cstdint>
#include <functional>
#include <gentianramp/core/clock.hpp>
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

/// The parts of a prompt in order; the last one is the request's own.
struct PromptDescription
{
    std::vector<PromptPart> parts;
    std::uint32_t outputTokens = 0; ///< Most tokens of the answer; 0: unknown.
    bool operator==(const PromptDescription &) const = default;

    std::uint32_t tokens() const;
    /// Stands for the parts that other requests share; equal for equal shared parts.
    std::uint64_t sharedPrefixHash() const;
};

/// Load that a backend server states with an answer.
struct StatedLoad
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;
    bool operator==(const StatedLoad &) const = default;
};

/// How callers and backend servers name things in headers. Empty names are not used.
struct BackendProtocol
{
    std::string requestId;   ///< Echoed by backend servers.
    std::string timeBudget;  ///< Milliseconds that the sender still waits.
    std::string lastEventId; ///< A stream goes on after this event.
    std::string signature;   ///< Backend servers sign their answers with it.
    std::string target;      ///< Only the backend server of that id may run the request.
    std::string notRun;      ///< On an answer: the request did not run.
    std::string priority;    ///< 0 to 9, 0 first.
    std::string load;        ///< On an answer: StatedLoad.
    std::string fetchFrom;   ///< Address of an engine whose cached prefix is fetched first.
    std::string prefillOnly; ///< With prefillValue: the prompt is read and kept under a handle.
    std::string prefillValue;
    std::string takeFrom; ///< ADDRESS/HANDLE of a prompt that another engine has read.
    unsigned wrongTargetStatus = 421;
    std::vector<std::string> strippedHeaders; ///< Headers of callers that are never passed on.
    std::string reportPath;                   ///< State of an engine, answered without a slot.
    std::function<std::optional<PromptDescription>(const HttpHeaders &)> prompt;
    std::function<std::optional<StatedLoad>(std::string_view)> parseLoad;
    /// Handle in the body of an answer to a prefill; empty when there is none.
    std::function<std::string(std::string_view)> handle;
    /// Target and method that free a handle.
    std::function<HttpRequest(const std::string &handle)> freeHandle;
};

} // namespace gentianramp
