// Freshness of one router's copy: store reads, polls of the counted routers, and confirmations of peers.
// ChangeDriver carries the changes.

#include <LibConfig/ChangeDriver.h>
#include <LibConfig/Quorum.h>

#include <algorithm>

namespace Wisteria {

namespace detail {

namespace {

// How often a store reader reads the object API.
constexpr absl::Duration readInterval = absl::Seconds(1);
// A reader polls once its confirmation is older than this, which a working store never lets happen.
constexpr absl::Duration pollAfter = absl::Milliseconds(2500);
constexpr absl::Duration pollInterval = absl::Seconds(1);
// A fetch from a peer is not repeated before this long for the same version.
constexpr absl::Duration fetchInterval = absl::Milliseconds(500);

// A confirmation on this router's own clock.
struct ConfirmedAt
{
    ConfigVersion version;
    absl::Time at{absl::InfinitePast()};
};

} // namespace

class Keeper final : public ConfigurationKeeper
{
public:
    Keeper(RouterId self, bool readsStore, absl::Time startedAt)
        : m_self(std::move(self)), m_readsStore(readsStore), m_startedAt(startedAt), m_changes(m_self)
    {
    }

    KeeperActions handle(const KeeperEvent &event, absl::Time now) override
    {
        KeeperActions actions;
        std::visit([&](const auto &it) { on(it, now, actions); }, event);
        tick(now, actions);
        if (const bool fresh = isFresh(now); fresh != m_saidFresh) {
            m_saidFresh = fresh;
            actions.emplace_back(SetFreshness{fresh});
        }
        return actions;
    }

    absl::Time nextWakeUp() const override
    {
        auto next = m_changes.nextWakeUp();
        if (m_readsStore)
            next = std::min({next, m_readAt + readInterval, nextPoll()});
        if (m_saidFresh)
            next = std::min(next, m_confirmed.at + freshnessBound);
        return next;
    }

    void setReadsStore(bool readsStore) override { m_readsStore = readsStore; }
    const FleetConfiguration &configuration() const override { return m_held; }

    bool isFresh(absl::Time now) const override { return now - m_confirmed.at < freshnessBound; }

    std::optional<Confirmation> confirmation(absl::Time now) const override
    {
        if (m_confirmed.at == absl::InfinitePast())
            return std::nullopt;
        return Confirmation{m_confirmed.version, std::max(now - m_confirmed.at, absl::ZeroDuration())};
    }

    bool confirmedSinceStart() const override { return m_confirmed.at >= m_startedAt + restartEmbargo; }

private:
    void on(const ConfigurationRead &event, absl::Time now, KeeperActions &actions)
    {
        if (event.configuration)
            adopt(*event.configuration, actions);
        confirm({event.configuration ? event.configuration->version : ConfigVersion{}, event.began});
        m_changes.storeRead(event, m_held, now, actions);
    }

    void on(const ConfigurationReadFailed &, absl::Time now, KeeperActions &actions)
    {
        m_changes.readFailed(now, actions);
    }

    void on(const ConfigurationReceived &event, absl::Time, KeeperActions &actions)
    {
        adopt(event.configuration, actions);
    }

    void on(const ConfirmationReceived &event, absl::Time now, KeeperActions &actions)
    {
        // The age is counted from the question, so a slow answer makes the confirmation older, never younger.
        if (event.confirmation)
            confirm({event.confirmation->version, event.began - event.confirmation->age});
        fetchIfGreater(event.from, event.held, now, actions);
    }

    void on(const PollAnswered &event, absl::Time now, KeeperActions &actions)
    {
        fetchIfGreater(event.from, event.held, now, actions);
        // NOTE: An answer with a greater version ends the poll: its list may differ from the one counted
        // here, so only a new poll under the fetched configuration may confirm.
        if (event.held > m_pollVersion)
            m_pollBegan = absl::InfiniteFuture();
        // A question that was asked after the poll began is as good as one of the poll itself.
        if (event.began < m_pollBegan || !event.confirmedSinceStart)
            return;
        m_pollAnswers.insert(event.from);
        checkPoll();
    }

    void on(const ChangeRequested &event, absl::Time now, KeeperActions &actions)
    {
        m_changes.request(event.change, now, actions);
    }

    void on(const ConfigurationWritten &event, absl::Time now, KeeperActions &actions)
    {
        auto inForce = m_changes.written(event, now, actions);
        if (!inForce)
            return;
        adopt(*inForce, actions);
        m_changes.beginAcknowledging(now, actions);
    }

    void on(const PushAcknowledged &event, absl::Time now, KeeperActions &actions)
    {
        m_changes.acknowledged(event, now, actions);
    }

    void on(const KeeperTick &, absl::Time, KeeperActions &) { }

    // Greater versions only.
    void adopt(const FleetConfiguration &configuration, KeeperActions &actions)
    {
        if (configuration.version <= m_held.version)
            return;
        m_held = configuration;
        actions.emplace_back(ApplyConfiguration{m_held});
        confirm(m_unmet);
    }

    // Takes the younger confirmation, once this router holds the version that it names.
    void confirm(const ConfirmedAt &confirmation)
    {
        if (confirmation.version > m_held.version) {
            if (confirmation.at > m_unmet.at)
                m_unmet = confirmation;
            return;
        }
        if (confirmation.at > m_confirmed.at)
            m_confirmed = confirmation;
    }

    void fetchIfGreater(const RouterId &from, ConfigVersion held, absl::Time now, KeeperActions &actions)
    {
        if (held <= m_held.version || (held == m_fetching && now - m_fetchedAt < fetchInterval))
            return;
        m_fetching = held;
        m_fetchedAt = now;
        actions.emplace_back(FetchConfiguration{from});
    }

    void tick(absl::Time now, KeeperActions &actions)
    {
        m_changes.tick(now, actions);
        if (!m_readsStore)
            return;
        if (now - m_readAt >= readInterval) {
            m_readAt = now;
            actions.emplace_back(ReadConfiguration{});
        }
        if (now >= nextPoll())
            startPoll(now, actions);
    }

    absl::Time nextPoll() const { return std::max(m_confirmed.at + pollAfter, m_polledAt + pollInterval); }

    void startPoll(absl::Time now, KeeperActions &actions)
    {
        m_polledAt = now;
        m_pollBegan = now;
        m_pollVersion = m_held.version;
        m_pollAnswers.clear();
        if (confirmedSinceStart())
            m_pollAnswers.insert(m_self);
        auto routers = m_held.countedRouters;
        std::erase_if(routers, [&](const auto &it) { return it.id == m_self; });
        if (!routers.empty())
            actions.emplace_back(PollCountedRouters{std::move(routers)});
        checkPoll();
    }

    void checkPoll()
    {
        // The list that is counted must be the one of the version that the poll confirms.
        if (m_held.version != m_pollVersion || !isPollMajority(m_held, m_pollAnswers))
            return;
        confirm({m_pollVersion, m_pollBegan});
    }

    const RouterId m_self;
    bool m_readsStore;
    const absl::Time m_startedAt;
    // Invariant: its version never falls.
    FleetConfiguration m_held;
    // Invariant: m_confirmed.version <= m_held.version.
    ConfirmedAt m_confirmed;
    // A confirmation of a version that this router does not hold yet.
    ConfirmedAt m_unmet;
    bool m_saidFresh{false};
    absl::Time m_readAt{absl::InfinitePast()};
    absl::Time m_polledAt{absl::InfinitePast()};
    // The open poll: when it began, which version's list it counts and who answered. InfiniteFuture: none.
    absl::Time m_pollBegan{absl::InfiniteFuture()};
    ConfigVersion m_pollVersion;
    std::set<RouterId> m_pollAnswers;
    ConfigVersion m_fetching;
    absl::Time m_fetchedAt{absl::InfinitePast()};
    ChangeDriver m_changes;
};

} // namespace detail

std::unique_ptr<ConfigurationKeeper> ConfigurationKeeper::create(RouterId self, bool readsStore,
                                                                 absl::Time startedAt)
{
    return std::make_unique<detail::Keeper>(std::move(self), readsStore, startedAt);
}

} // namespace Wisteria
