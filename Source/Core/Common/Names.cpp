#include "currantfall/Common/Names.h"

#include <algorithm>

namespace Currantfall::Common {

namespace {

constexpr std::size_t maxNameLength = 63;

bool isNameCharacter(char character)
{
    return (character >= 'a' && character <= 'z') || (character >= '0' && character <= '9')
           || character == '-';
}

} // namespace

bool isValidName(const std::string &text)
{
    if (text.empty() || text.size() > maxNameLength || text.front() == '-') {
        return false;
    }
    return std::all_of(text.begin(), text.end(), isNameCharacter);
}

} // namespace Currantfall::Common
