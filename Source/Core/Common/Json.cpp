#include "currantfall/Common/Json.h"

namespace Currantfall::Common {

namespace {

/// Whether no more than `limit` arrays and objects are open at any place. The text need not be
/// valid.
bool nestingWithin(std::string_view text, std::size_t limit)
{
    std::size_t depth = 0;
    bool inString = false;
    for (std::size_t position = 0; position < text.size(); ++position) {
        const char character = text[position];
        if (inString) {
            if (character == '\\') {
                ++position;
            } else if (character == '"') {
                inString = false;
            }
        } else if (character == '"') {
            inString = true;
        } else if (character == '[' || character == '{') {
            if (++depth > limit) {
                return false;
            }
        } else if ((character == ']' || character == '}') && depth > 0) {
            --depth;
        }
    }
    return true;
}

} // namespace

nlohmann::json parseJson(std::string_view text)
{
    if (!nestingWithin(text, maxJsonDepth)) {
        return nlohmann::json(nlohmann::json::value_t::discarded);
    }
    return nlohmann::json::parse(text, nullptr, false);
}

} // namespace Currantfall::Common
