#include "test_files.hpp"

#include <cstdlib>
#include <fstream>
#include <unistd.h>

namespace gentianramp {

ScratchFolder::ScratchFolder(const std::string &name)
    : m_path(std::filesystem::temp_directory_path()
             / ("gentianramp-" + name + "-" + std::to_string(getpid())))
{
    std::filesystem::remove_all(m_path);
    std::filesystem::create_directories(m_path);
}

ScratchFolder::~ScratchFolder()
{
    std::error_code ignored;
    std::filesystem::remove_all(m_path, ignored);
}

std::filesystem::path ScratchFolder::write(const std::string &name, const std::string &text) const
{
    std::ofstream(m_path / name, std::ios::binary) << text;
    return m_path / name;
}

std::string replaced(std::string text, const std::string &from, const std::string &to)
{
    const std::size_t at = text.find(from);
    if (at == std::string::npos)
        std::abort();
    return text.replace(at, from.size(), to);
}

const std::string ValidBase = R"(sites: [north, south]
priority_classes:
  - {name: urgent, level: 0, reserved_share: 0.25}
  - {name: normal, level: 5}
models:
  - {id: desk-7b, version: v1, adapters: [billing], weight_bytes: 14000000000}
services:
  - id: desk
    kind: model
    model: desk-7b
    priority_class: normal
    idempotent: true
    timeout: 30s
    first_token_target: 1800ms
  - id: bay
    kind: plain
    path_prefix: /bay
    priority_class: urgent
    idempotent: false
    idempotent_paths: [/bay/lookup]
    timeout: 2s
customers:
  - id: laundry
    key_sha256: [2c26b46b68ffc68ff99b453c1d30413413422d706483bfa0f98a5e886266e7ae]
    requests_per_second: 50
    services: [desk, bay]
planner:
  role_change_weight: 4.5
  horizon: 30s
general:
  weight_store_bytes_per_second: 1e9
  idempotency_lifetime: 10m
)";

const std::string ValidOverlay = R"(site: north
backends:
  - {id: engine-1, service: desk, host: 127.0.0.1, port: 9001, role: prefill, checks_fencing: true}
  - {id: worker-1, service: bay, host: 127.0.0.1, port: 9002}
  - {id: worker-2, service: bay, host: 127.0.0.1, port: 9003, slots: 4}
models:
  - {model: desk-7b, version: v2}
)";

} // namespace gentianramp
