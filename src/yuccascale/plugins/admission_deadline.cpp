#include "yuccascale/kernel/policy/admission.hpp"

#include <algorithm>

/// \file
/// \brief Admission by predicted deadline misses, and baselines that admit everything or up to a
/// queue length.

namespace yuccascale::plugins {

namespace {

using namespace kernel::policy;
using kernel::instant;
using kernel::nanoseconds;

constexpr nanoseconds minRetryAfter = kernel::milliseconds(100);
constexpr nanoseconds maxRetryAfter = kernel::seconds(60);
constexpr std::size_t maxWaiting = 32; ///< queue length of the baseline "queue_limit"
/// Spreads the retries of callers that are refused at the same time.
constexpr int retrySpreadSteps = 16;
constexpr double retrySpreadPerStep = 0.5 / 16; ///< share added to the retry delay for each step
constexpr double defaultMargin = 2.5;           ///< factor applied to the predicted wait
/// Refuses more requests in advance, so fewer dispatched ones miss their deadline.
constexpr double earlyMargin = 3.2;

nanoseconds scaled(nanoseconds duration, double factor)
{
    return std::chrono::duration_cast<nanoseconds>(duration * factor);
}

/// Expected wait behind the organisation's own requests at its share of the capacity, or behind all
/// requests if that is shorter, because unused shares go to the others.
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
        return admission_refusal{"the request would miss its deadline because of the waiting work "
                                 "of its organisation",
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
