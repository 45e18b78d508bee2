// The object API over HTTP: entity tags carry versions, and preconditions are those of RFC 9110, section 13.

#pragma once

#include <LibCore/Address.h>
#include <LibPlatform/ObjectStore.h>

#include <memory>

namespace Wisteria {

class HttpObjectStore final : public ObjectStore
{
public:
    // The address is "IP:port". The timeout holds for each call.
    // Errors: InvalidSettings on a malformed address.
    [[nodiscard]] static ErrorOr<std::unique_ptr<HttpObjectStore>> create(const std::string &address,
                                                                          absl::Duration timeout);

    [[nodiscard]] ErrorOr<std::optional<StoredObject>> get(const std::string &kind,
                                                           const std::string &name) override;
    [[nodiscard]] ErrorOr<ObjectVersion> put(const std::string &kind, const std::string &name,
                                             const std::string &body, ObjectVersion expected) override;
    [[nodiscard]] ErrorOr<std::optional<StoredObject>> watch(const std::string &kind, const std::string &name,
                                                             ObjectVersion after,
                                                             absl::Duration timeout) override;

private:
    HttpObjectStore(Address address, absl::Duration timeout);

    const Address m_address;
    const absl::Duration m_timeout;
};

} // namespace Wisteria
