// One driver a request.

#include <LibCaller/CallerClient.h>

#include <LibCaller/AttemptPacer.h>
#include <LibCaller/CallDriver.h>
#include <LibCaller/CompletionDriver.h>

namespace Wisteria {

CallerClient::CallerClient(CallerOptions options, Transport &transport, CallerClock &clock,
                           RandomSource &random)
    : m_options(std::move(options)), m_transport(transport), m_clock(clock), m_random(random),
      m_entryPoints(transport, clock, m_options.seeds, m_options.domain, m_options.discoveryTimeout)
{
}

ErrorOr<std::unique_ptr<CallerClient>> CallerClient::create(CallerOptions options, Transport &transport,
                                                            CallerClock &clock, RandomSource &random)
{
    if (options.seeds.empty())
        return makeError(ErrorCode::InvalidSettings, "no entry point is given");
    return std::unique_ptr<CallerClient>(new CallerClient(std::move(options), transport, clock, random));
}

ErrorOr<Completion> CallerClient::complete(const CompletionRequest &request, TokenReceiver onToken)
{
    AttemptPacer pacer(m_entryPoints, m_clock, m_random, m_options.retry, request.timeout);
    CompletionDriver driver(request, m_transport, pacer, m_options.streamStallLimit, std::move(onToken));
    return driver.run();
}

CallResult CallerClient::call(const ServiceCall &request)
{
    AttemptPacer pacer(m_entryPoints, m_clock, m_random, m_options.retry, request.timeout);
    CallDriver driver(request, m_transport, m_entryPoints, pacer, m_options.callStallLimit);
    return driver.run();
}

} // namespace Wisteria
