#include "currantfall/Execution/Records.h"

namespace Currantfall::Execution {

std::size_t answerBytes(const Common::Answer &answer)
{
    std::size_t bytes = answer.body.size() + answer.message.size();
    for (const Common::Header &header : answer.headers) {
        bytes += header.name.size() + header.value.size();
    }
    return bytes;
}

Common::Answer boundedAnswer(const Common::Answer &answer, std::size_t maxBytes)
{
    if (answerBytes(answer) <= maxBytes) {
        return answer;
    }
    if (answer.outcome != Common::Outcome::Answered) {
        // The outcome and its reason must stay; only the text is for people.
        Common::Answer shortened = answer;
        shortened.message.clear();
        shortened.body.clear();
        shortened.headers.clear();
        return shortened;
    }
    return Common::outcomeUnknown(Common::Reason::BodyTooLarge,
                                  "the request was executed and answered with status "
                                          + std::to_string(answer.status)
                                          + "; the response is too large to be repeated");
}

} // namespace Currantfall::Execution
