#include "yuccascale/kernel/policy/admission.hpp"

#include <algorithm>

/// \file
/// \brief Admission by deadline; the baselines admit everything, or up to a length of the queue.

namespace yuccascale::plugins {

namespace {

using namespace kernel::policy;
using kernel::instant;
using kernel::nanoseconds;

constexpr nanoseconds minRetryAfter = kernel::milliseconds(100);
constexpr nanoseconds maxRetryAfter = kernel::seconds(60);
constexpr std::size_t maxWaiting = 32;          ///< of the queue limit
constexpr int retrySpreadSteps = 16;            ///< callers refused together come back apart
constexpr double retrySpreadPerStep = 0.5 / 16; ///< added for each step
constexpr double defaultMargin = 2.5;           ///< factor on the predicted wait
constexpr double earlyMargin = 3.2; ///< refuses more in advance; fewer dispatched ones end late

nanoseconds scaled(nanoseconds duration, double factor)
{
    return std::chrono::duration_cast<nanoseconds>(duration * factor);
}

/// The wait behind the organisation's own requests at its share, or behind all requests when that
/// is sooner: an idle share is used by the others.
nanoseconds expectedWait(const waiting_request &request, const queue_view &queue)
{
    if (queue.costPerSecond <= 0)
        return queue.predictedWait;
    const double ownCost = queue.costWaitingOfOrganisation + request.cost;
    const double share = std::max(queue.shareOfOrganisation, 1e-6);
    const double wait = std::min(ownCost / (queue.costPerSecond * share),
                                 (queue.costWaiting + request.cost) / queue.costPerSecond);
    return std::chrono::duration_cast<nanoseconds>(std::chrono::duration<double>(wait));
}

class deadline_admission final : public admission
{
public:
    explicit deadline_admission(double margin)
        : m_margin(margin)
    { }

    [[nodiscard]] std::optional<admission_refusal>
    refuse(instant now, const waiting_request &request, const queue_view &queue) override
    {
        if (queue.waiting == 0)
            return std::nullopt;
        const nanoseconds wait = scaled(expectedWait(request, queue), m_margin);
        const nanoseconds lateness = now + wait + request.predictedService - request.deadline;
        if (lateness <= nanoseconds::zero())
            return std::nullopt;
        const double spread
                = 1.0 + retrySpreadPerStep * static_cast<double>(request.ticket % retrySpreadSteps);
        const nanoseconds retryAfter = scaled(std::max(lateness, minRetryAfter), spread);
        return admission_refusal{"would miss its deadline: waiting work of its organisation",
                                 std::min(retryAfter, maxRetryAfter)};
    }

private:
    double m_margin;
};

class queue_limit_admission final : public admission
{
public:
    [[nodiscard]] std::optional<admission_refusal> refuse(instant, const waiting_request &,
                                                          const queue_view &queue) override
    {
        if (queue.waiting < maxWaiting)
            return std::nullopt;
        return admission_refusal{"the queue is full", std::max(queue.predictedWait, minRetryAfter)};
    }
};

class always_admission final : public admission
{
public:
    [[nodiscard]] std::optional<admission_refusal> refuse(instant, const waiting_request &,
                                                          const queue_view &) override
    {
        return std::nullopt;
    }
};

const admission_registry::registration addDeadline{
        "deadline", [] { return std::make_unique<deadline_admission>(defaultMargin); }};
const admission_registry::registration addDeadlineEarly{
        "deadline_early", [] { return std::make_unique<deadline_admission>(earlyMargin); }};
const admission_registry::registration addQueueLimit{
        "queue_limit", [] { return std::make_unique<queue_limit_admission>(); }};
const admission_registry::registration addAlways{
        "always", [] { return std::make_unique<always_admission>(); }};

} // namespace

} // namespace yuccascale::plugins
