// Takes the changes that operators ask of one router to their final answers, one change at a time.
//
// A change is read, applied and written by a conditional update, then acknowledged by at least half of the
// counted routers. A change of the counted list first has its base acknowledged, so that a router which
// counts by an older list always meets a newer configuration in its polls.

#pragma once

#include <LibConfig/ConfigurationKeeper.h>

#include <deque>

namespace Wisteria::detail {

enum class ChangePhase { Reading, AcknowledgingBase, Writing, ReadingBack, Acknowledging };

class ChangeDriver
{
public:
    explicit ChangeDriver(RouterId self) : m_self(std::move(self)) { }

    void request(const ConfigurationChange &change, absl::Time now, KeeperActions &);
    // `held` is the configuration in force at this router, which already includes the one that was read.
    void storeRead(const ConfigurationRead &, const FleetConfiguration &held, absl::Time now,
                   KeeperActions &);
    void readFailed(absl::Time now, KeeperActions &);
    // The configuration that the write put in force, if it did. The caller adopts it, then calls
    // beginAcknowledging().
    [[nodiscard]] std::optional<FleetConfiguration> written(const ConfigurationWritten &, absl::Time now,
                                                            KeeperActions &);
    void beginAcknowledging(absl::Time now, KeeperActions &);
    void acknowledged(const PushAcknowledged &, absl::Time now, KeeperActions &);
    void tick(absl::Time now, KeeperActions &);
    [[nodiscard]] absl::Time nextWakeUp() const;

private:
    struct Entry
    {
        ConfigurationChange change;
        absl::Time deadline;
    };

    struct Active
    {
        Entry entry;
        ChangePhase phase{ChangePhase::Reading};
        // When the current store call was issued, to repeat a lost one.
        absl::Time calledAt;
        // The configuration to write, and the object version that it replaces.
        FleetConfiguration next;
        ObjectVersion expected;
        // The outcome of a write was lost; "no effect" may not be answered until a read settles it.
        bool mayBeWritten{false};
        // The acknowledgement round: what must be held, by whom it is held, and when the round began.
        FleetConfiguration toAcknowledge;
        std::set<RouterId> holders;
        absl::Time roundBegan;
        absl::Time pushedAt;
        // The base of a list change that was acknowledged.
        ConfigVersion acknowledgedBase;
    };

    void startNext(absl::Time now, KeeperActions &);
    void read(ChangePhase, absl::Time now, KeeperActions &);
    void applyTo(const FleetConfiguration &base, ObjectVersion, absl::Time now, KeeperActions &);
    void write(absl::Time now, KeeperActions &);
    void acknowledge(ChangePhase, const FleetConfiguration &, absl::Time now, KeeperActions &);
    void push(absl::Time now, KeeperActions &);
    void checkAcknowledged(absl::Time now, KeeperActions &);
    void answer(ErrorOr<ConfigVersion> result, absl::Time now, KeeperActions &);
    void answerTimeout(absl::Time now, KeeperActions &);
    [[nodiscard]] bool isWaitingForStore() const;
    // Notes one result of a write; true when it must be the result of the last one.
    [[nodiscard]] bool closeWrite(const std::string &changeId);

    RouterId m_self;
    // Invariant: at most maxQueuedChanges.
    std::deque<Entry> m_queue;
    std::optional<Active> m_active;
    // Writes without a result yet, by change id. Invariant: each count is positive.
    std::map<std::string, unsigned> m_openWrites;
};

} // namespace Wisteria::detail
