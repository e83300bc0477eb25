#ifndef CHIVERAIL_TESTS_MALFORMED_ANSWERS_H_
#define CHIVERAIL_TESTS_MALFORMED_ANSWERS_H_

#include <string>
#include <vector>

namespace chiverail {

// Status codes of three digits that HTTP does not define.
inline const std::vector<std::string> kUndefinedStatuses{"000", "001", "099", "600", "999"};

// What follows the fields of an answer whose body is "result", for each way to mark its end.
inline const std::vector<std::string> kFramedResults{
    "Content-Length: 6\r\n\r\nresult",
    "Transfer-Encoding: chunked\r\n\r\n6\r\nresult\r\n0\r\n\r\n",
    "\r\nresult",
};

}  // namespace chiverail

#endif  // CHIVERAIL_TESTS_MALFORMED_ANSWERS_H_
