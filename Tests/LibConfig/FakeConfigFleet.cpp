// The fake fleet's store, network and faults.

#include <LibConfig/FakeConfigFleet.h>

#include <stdexcept>

namespace Wisteria {

FakeConfigFleet::FakeConfigFleet(std::uint64_t seed, std::size_t routers)
    : m_random(seed), m_nodes(routers), m_cut(routers + 1, std::vector<bool>(routers + 1))
{
    FleetConfiguration first;
    first.version = ConfigVersion(1);
    const auto counted = 3 + m_random.below(routers - 2);
    for (std::size_t i = 0; i < counted; ++i)
        first.countedRouters.push_back({RouterId("r" + std::to_string(i))});
    first.countedBefore = first.countedRouters;
    m_history[first.version] = first;
    m_objectVersion = ObjectVersion(1);
    for (std::size_t i = 0; i < routers; ++i) {
        m_nodes[i].skew = absl::Seconds(static_cast<std::int64_t>(m_random.below(10000)));
        m_nodes[i].readsStore = i < 3;
        start(i);
    }
}

absl::Duration FakeConfigFleet::delay()
{
    if (m_isFaulty && chance(5))
        return absl::Milliseconds(m_random.below(3000));
    return absl::Milliseconds(1 + m_random.below(20));
}

std::size_t FakeConfigFleet::indexOf(const RouterId &id) const
{
    return std::stoul(id.value().substr(1));
}

void FakeConfigFleet::runUntil(absl::Time end)
{
    while (!m_queue.empty() && m_queue.begin()->first <= end) {
        auto first = m_queue.extract(m_queue.begin());
        m_now = first.key();
        ++m_counts.events;
        first.mapped()();
        check();
    }
    m_now = end;
}

void FakeConfigFleet::deliver(std::size_t node, std::uint64_t incarnation, Work work)
{
    auto &it = m_nodes[node];
    if (it.incarnation != incarnation)
        return;
    if (it.isPaused)
        it.backlog.push_back(std::move(work));
    else
        work();
}

void FakeConfigFleet::call(std::size_t from, std::size_t to, const std::function<Work(Node &)> &atPeer)
{
    if (m_cut[from][to])
        return;
    const auto caller = m_nodes[from].incarnation;
    at(delay(), [=, this] {
        // The peer's incarnation is whichever runs when the request arrives.
        deliver(to, m_nodes[to].incarnation, [=, this] {
            auto reply = atPeer(m_nodes[to]);
            if (!m_cut[to][from])
                at(delay(), [=, this] { deliver(from, caller, reply); });
        });
    });
}

void FakeConfigFleet::start(std::size_t node)
{
    auto &it = m_nodes[node];
    ++it.incarnation;
    it.isPaused = false;
    it.backlog.clear();
    it.lastHeld = {};
    it.keeper = ConfigurationKeeper::create(RouterId("r" + std::to_string(node)), it.readsStore, clockOf(it));
    tick(node, it.incarnation);
    gossip(node, it.incarnation);
}

void FakeConfigFleet::tick(std::size_t node, std::uint64_t incarnation)
{
    feed(node, KeeperTick{});
    const auto &it = m_nodes[node];
    const auto wait = std::min(it.keeper->nextWakeUp() - clockOf(it), absl::Seconds(1));
    at(std::max(wait, absl::Milliseconds(5)),
       [=, this] { deliver(node, incarnation, [=, this] { tick(node, incarnation); }); });
}

void FakeConfigFleet::gossip(std::size_t node, std::uint64_t incarnation)
{
    const auto peer = m_random.below(m_nodes.size());
    const auto began = clockOf(m_nodes[node]);
    if (peer != node) {
        call(node, peer, [=, this](Node &it) -> Work {
            const auto confirmation = it.keeper->confirmation(clockOf(it));
            const auto held = it.keeper->configuration().version;
            const RouterId from("r" + std::to_string(peer));
            return [=, this] { feed(node, ConfirmationReceived{from, held, confirmation, began}); };
        });
    }
    at(absl::Milliseconds(500),
       [=, this] { deliver(node, incarnation, [=, this] { gossip(node, incarnation); }); });
}

void FakeConfigFleet::feed(std::size_t node, const KeeperEvent &event)
{
    auto &it = m_nodes[node];
    for (const auto &action : it.keeper->handle(event, clockOf(it)))
        perform(node, action);
}

void FakeConfigFleet::perform(std::size_t node, const KeeperAction &action)
{
    const auto began = clockOf(m_nodes[node]);
    if (std::holds_alternative<ReadConfiguration>(action))
        readStore(node);
    if (const auto *write = std::get_if<WriteConfiguration>(&action))
        writeStore(node, *write);
    if (const auto *done = std::get_if<AnswerChange>(&action))
        answer(*done);
    if (const auto *fetch = std::get_if<FetchConfiguration>(&action)) {
        call(node, indexOf(fetch->from), [=, this](Node &it) -> Work {
            auto held = it.keeper->configuration();
            return [=, this] { feed(node, ConfigurationReceived{held}); };
        });
    }
    if (const auto *push = std::get_if<PushConfiguration>(&action)) {
        for (const auto &to : push->to) {
            const auto peer = indexOf(to.id);
            call(node, peer, [=, this, push = *push](Node &it) -> Work {
                feed(peer, ConfigurationReceived{push.configuration});
                const auto held = it.keeper->configuration().version;
                return [=, this] { feed(node, PushAcknowledged{to.id, held, push.began}); };
            });
        }
    }
    if (const auto *poll = std::get_if<PollCountedRouters>(&action)) {
        for (const auto &to : poll->to) {
            call(node, indexOf(to.id), [=, this](Node &it) -> Work {
                const auto held = it.keeper->configuration().version;
                const bool confirmed = it.keeper->confirmedSinceStart();
                return [=, this] { feed(node, PollAnswered{to.id, held, confirmed, began}); };
            });
        }
    }
}

void FakeConfigFleet::readStore(std::size_t node)
{
    const auto store = m_nodes.size();
    const auto began = clockOf(m_nodes[node]);
    const auto incarnation = m_nodes[node].incarnation;
    at(delay(), [=, this] {
        Work reply = [=, this] { feed(node, ConfigurationReadFailed{}); };
        if (m_storeUp && !m_cut[node][store]) {
            reply = [=, this, latest = m_history.rbegin()->second, version = m_objectVersion] {
                feed(node, ConfigurationRead{latest, version, began});
            };
        }
        if (!m_cut[store][node])
            at(delay(), [=, this] { deliver(node, incarnation, reply); });
    });
}

void FakeConfigFleet::writeStore(std::size_t node, const WriteConfiguration &write)
{
    const auto store = m_nodes.size();
    const auto incarnation = m_nodes[node].incarnation;
    const bool isReplyLost = m_isFaulty && chance(15);
    at(delay(), [=, this] {
        ErrorOr<ObjectVersion> result = makeError(ErrorCode::StoreUnavailable);
        if (m_storeUp && !m_cut[node][store]) {
            result = makeError(ErrorCode::Conflict);
            if (write.expected == m_objectVersion) {
                const auto version = write.configuration.version;
                if (!m_history.emplace(version, write.configuration).second)
                    fail("version " + std::to_string(version.value()) + " was written twice");
                m_objectVersion = ObjectVersion(m_objectVersion.value() + 1);
                result = m_objectVersion;
            }
        }
        if (isReplyLost || m_cut[store][node])
            result = makeError(ErrorCode::StoreOutcomeUnknown);
        at(delay(), [=, this] {
            deliver(node, incarnation, [=, this] {
                feed(node, ConfigurationWritten{write.changeId, result});
            });
        });
    });
}

void FakeConfigFleet::answer(const AnswerChange &done)
{
    const auto &id = done.changeId;
    if (done.result) {
        const auto written = m_history.rbegin()->second.versionOfChange(id);
        if (written != *done.result)
            fail("change " + id + " was accepted, but the store does not hold it in that version");
        ++m_counts.accepted;
        if (!m_storeUp)
            ++m_counts.acceptedByPollOnly;
        m_accepted.emplace_back(m_now, *done.result);
        return;
    }
    ++m_counts.refused;
    const auto ec = done.result.error().code;
    const bool mayBeInForce = ec == ErrorCode::NotAcknowledged || ec == ErrorCode::StoreOutcomeUnknown;
    if (!mayBeInForce) {
        if (m_retries[id] == 0)
            m_withoutEffect.insert(id);
        return;
    }
    if (++m_retries[id] > 3)
        return;
    // The operator retries under the same change id at any router.
    at(absl::Milliseconds(m_random.below(3000)), [=, this] {
        const auto node = m_random.below(m_nodes.size());
        deliver(node, m_nodes[node].incarnation,
                [=, this] { feed(node, ChangeRequested{m_requested.at(id)}); });
    });
}

void FakeConfigFleet::fail(const std::string &what) const
{
    throw std::runtime_error(absl::FormatTime(m_now) + ": " + what);
}

} // namespace Wisteria
