// Messages between the leader of a cell and the daemons that ask the advisor on its behalf.
#pragma once

#include "connection/advice_port.h"

#include <string>
#include <string_view>
#include <variant>

namespace sesamespar {

/// Ask the advisor and send the answer back.
struct hand_question {
    correlation_id correlation;
    address answerTo;
    milliseconds limit{0}; ///< The leader waits no longer.
    advice_question question;
};

/// The answer, or why there is none.
struct hand_answer {
    correlation_id correlation;
    std::string problem; ///< Empty if answered.
    advice_answer answer;
};

/// Any of them.
using hand_message = std::variant<hand_question, hand_answer>;

std::string encodeHandMessage(const hand_message &message);

/// Errors: InvalidInput.
result<hand_message> decodeHandMessage(std::string_view bytes);

} // namespace sesamespar
