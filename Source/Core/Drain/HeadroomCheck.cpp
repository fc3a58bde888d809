#include "currantfall/Drain/HeadroomCheck.h"

#include <cmath>
#include <utility>

#include <absl/strings/str_cat.h>

#include "ServicePlan.h"

namespace Currantfall::Drain {

namespace {

const char *const step = "check headroom";

Common::Result<void> checkLoads(const Configuration::Environment &environment,
                                const std::vector<ServiceLoad> &loads)
{
    for (const ServiceLoad &load : loads) {
        if (environment.findService(load.service) == nullptr
            || environment.regionOf(load.zone) == nullptr) {
            return Common::failure(Common::ErrorCode::NotFound, step, {},
                                   "load of " + load.service.value() + " in " + load.zone.value());
        }
        if (!std::isfinite(load.fraction) || load.fraction < 0.0) {
            return Common::failure(Common::ErrorCode::InvalidInput, step, {},
                                   "load of " + load.service.value() + " in " + load.zone.value()
                                           + " is not a number of at least 0");
        }
    }
    return {};
}

double rounded(double slots)
{
    constexpr double decimals = 100.0;
    return std::round(slots * decimals) / decimals;
}

} // namespace

std::string Overload::toString() const
{
    return absl::StrCat(this->service.value(), ": ", Drain::toString(this->scope), " ", this->place,
                        " would need ", rounded(this->demand), " of ", this->slots, " slots, ",
                        rounded(this->excess), " above the limit");
}

Common::Result<HeadroomCheck> HeadroomCheck::create(double limit)
{
    if (!(limit > 0.0 && limit <= 1.0)) {
        return Common::failure(Common::ErrorCode::InvalidInput, step, {},
                               "the limit must be above 0 and at most 1");
    }
    return HeadroomCheck(limit);
}

Common::Result<HeadroomVerdict>
HeadroomCheck::evaluate(const Configuration::Environment &environment,
                        const std::vector<DrainTarget> &drains, const DrainTarget &target,
                        const std::vector<ServiceLoad> &loads) const
{
    if (!exists(environment, target)) {
        return Common::failure(Common::ErrorCode::NotFound, step, {}, target.toString());
    }
    if (auto checked = checkLoads(environment, loads); !checked) {
        return tl::unexpected(std::move(checked.error()));
    }
    std::vector<DrainTarget> after = drains;
    after.push_back(target);
    HeadroomVerdict verdict;
    for (const Configuration::Service &service : environment.services) {
        ServicePlan plan(environment, service, drains, after, this->limit);
        // An overload that the target has no part in does not refuse it.
        if (!plan.losesSlots()) {
            continue;
        }
        for (const ServiceLoad &load : loads) {
            if (load.service == service.name) {
                plan.addLoad(load);
            }
        }
        const std::vector<Overload> overloads = plan.place();
        verdict.overloads.insert(verdict.overloads.end(), overloads.begin(), overloads.end());
    }
    return verdict;
}

} // namespace Currantfall::Drain
