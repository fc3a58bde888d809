#pragma once

#include <memory>
#include <optional>
#include <string>

#include <catch2/catch.hpp>

#include "BackendPool.h"
#include "SteeringFixture.h"
#include "Support/ScriptedBackend.h"

namespace Currantfall::Entry::Tests {

/// The pool of one VM and one server.
struct PoolFixture
{
    SteeringFixture steering;

    std::shared_ptr<Exchange> exchange(const Currantfall::Tests::ScriptedBackend &backend,
                                       const std::string &id) const
    {
        auto result = std::make_shared<Exchange>();
        result->server.name = Common::BackendServerName("i-1");
        result->server.address = "127.0.0.1";
        result->server.port = backend.port();
        result->request = SteeringFixture::request("/write/1", id);
        if (id.empty()) {
            result->request.erase("Request-Id");
        }
        result->requestId = id;
        result->deadline = Common::monotonicNow() + absl::Seconds(3);
        return result;
    }

    std::shared_ptr<Exchange> healthCheck(const Currantfall::Tests::ScriptedBackend &backend) const
    {
        auto result = this->exchange(backend, "");
        result->request = Adapter::healthRequest("/health", "127.0.0.1");
        result->healthCheck = true;
        result->idempotent = true;
        return result;
    }

    ExchangeResult run(const std::shared_ptr<Exchange> &exchange)
    {
        std::optional<ExchangeResult> result;
        boost::asio::co_spawn(
                this->steering.context,
                [](PoolFixture &fixture, std::shared_ptr<Exchange> exchange,
                   std::optional<ExchangeResult> &result) -> Task {
                    result = co_await fixture.steering.steering.pool().run(exchange);
                    fixture.steering.context.stop();
                }(*this, exchange, result),
                boost::asio::detached);
        this->steering.context.restart();
        this->steering.context.run();
        REQUIRE(result);
        return *result;
    }
};

} // namespace Currantfall::Entry::Tests
