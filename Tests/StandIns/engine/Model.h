// The deterministic model: each token is a function of the whole text before it.

#pragma once

#include <xxhash.h>

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace Wisteria::StandIns {

class Model
{
public:
    // A salt other than zero makes a different model, as sampling at a temperature does.
    Model(std::string_view prompt, std::uint64_t salt) : m_state(XXH64_createState())
    {
        XXH64_reset(m_state.get(), salt);
        XXH64_update(m_state.get(), prompt.data(), prompt.size());
    }

    // The next token, which becomes part of the text.
    [[nodiscard]] std::string nextToken()
    {
        auto hash = XXH64_digest(m_state.get());
        std::string token = " ";
        for (int i = 0; i < syllablesPerToken; ++i) {
            token += consonants[hash % consonants.size()];
            hash /= consonants.size();
            token += vowels[hash % vowels.size()];
            hash /= vowels.size();
        }
        XXH64_update(m_state.get(), token.data(), token.size());
        return token;
    }

private:
    static constexpr int syllablesPerToken = 3;
    static constexpr std::string_view consonants = "bdfgklmnprstvz";
    static constexpr std::string_view vowels = "aeiou";

    struct FreeState
    {
        void operator()(XXH64_state_t *state) const { XXH64_freeState(state); }
    };

    std::unique_ptr<XXH64_state_t, FreeState> m_state;
};

[[nodiscard]] inline std::string expectedText(std::string_view prompt, std::uint64_t maxTokens)
{
    Model model(prompt, 0);
    std::string text;
    for (std::uint64_t i = 0; i < maxTokens; ++i)
        text += model.nextToken();
    return text;
}

} // namespace Wisteria::StandIns
