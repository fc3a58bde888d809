#include "currantfall/Tenants/TenantTable.h"

#include <catch2/catch.hpp>

using namespace Currantfall;
using namespace Currantfall::Tenants;

namespace {

Tenant tenant(const std::string &name, std::vector<std::string> keys)
{
    Tenant result;
    result.name = Common::TenantName(name);
    result.keys = std::move(keys);
    return result;
}

} // namespace

// Guards against requests of one tenant that run as those of another.
TEST_CASE("A key belongs to the tenant that holds it")
{
    const TenantTable table({ tenant("a", { "key-1", "key-2" }), tenant("b", { "key-3" }) });
    REQUIRE(table.findByKey("key-2") != nullptr);
    CHECK(table.findByKey("key-2")->name == Common::TenantName("a"));
    CHECK(table.findByKey("key-3")->name == Common::TenantName("b"));
    for (const std::string key : { "", "key-", "key-4", "key-11", "KEY-1", " key-1" }) {
        CHECK(table.findByKey(key) == nullptr);
    }
    CHECK(table.find(Common::TenantName("b"))->keys.size() == 1);
    CHECK(table.find(Common::TenantName("c")) == nullptr);
}

// Guards against a key that is given out twice and then opens the requests of another tenant.
TEST_CASE("A key of two tenants belongs to neither")
{
    const TenantTable table({ tenant("a", { "shared", "own", "own" }), tenant("b", { "shared" }) });
    CHECK(table.findByKey("shared") == nullptr);
    REQUIRE(table.findByKey("own") != nullptr);
    CHECK(table.findByKey("own")->name == Common::TenantName("a"));
}

// Guards against empty keys that match callers without any.
TEST_CASE("An empty key belongs to nobody")
{
    const TenantTable table({ tenant("a", { "" }) });
    CHECK(table.findByKey("") == nullptr);
    CHECK(decideAccess(table, false, "").access == Access::Denied);
}

// Guards against routes that serve callers without a valid key, and public ones that refuse them.
TEST_CASE("Only public routes need no key, unless there are no tenants")
{
    const TenantTable table({ tenant("a", { "key-1" }) });
    CHECK(decideAccess(table, false, "key-1")
          == AccessDecision { Access::Granted, table.findByKey("key-1") });
    CHECK(decideAccess(table, false, "other").access == Access::Denied);
    CHECK(decideAccess(table, false, "").access == Access::Denied);
    CHECK(decideAccess(table, true, "") == AccessDecision { Access::Granted, nullptr });
    CHECK(decideAccess(table, true, "other") == AccessDecision { Access::Granted, nullptr });
    CHECK(decideAccess(table, true, "key-1").tenant != nullptr);
    CHECK(decideAccess(TenantTable(), false, "") == AccessDecision { Access::Granted, nullptr });
}

// Guards against a withdrawn key that a newer version still knows.
TEST_CASE("Each version has the keys of its own tenants only")
{
    const TenantTable before({ tenant("a", { "old", "new" }) });
    const TenantTable after({ tenant("a", { "new" }) });
    CHECK(before.findByKey("old") != nullptr);
    CHECK(after.findByKey("old") == nullptr);
    CHECK(after.findByKey("new") != nullptr);
    CHECK_FALSE(before == after);
}
